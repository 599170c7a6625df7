"""Plug-ins: what operators add to the daemon's decisions, in WebAssembly."""

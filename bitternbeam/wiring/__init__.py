"""The daemon's parts and how they are put together, one file a site."""

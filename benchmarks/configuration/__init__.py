"""What versions cost at large size.

    python -m benchmarks.configuration [--bookers N] [--routes N] [--calls N]

One process, one core (it pins itself), real store, real stream over loopback, real core and module. Bookers
answer at once by a stand-in back in the process, so that what is measured is the controller alone. Each phase
runs for some seconds under steady calls; the stall is the longest gap between two ticks that are due every
millisecond, the delay of a set-up is from the time at which it was due to its being sent.
"""

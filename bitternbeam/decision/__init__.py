"""The decision module: admission control, routing and retries, driven by events and returning actions.

`choice` handles calls from arrival to final answer, `routing` selects candidate switches, `budget` limits the
set-ups per switch, `load` estimates a switch's load, `slow_start` paces set-ups to restarted or suspect
switches, `traffic` classifies calls and `probing` selects the switches to probe. `estimates` derives the
capacity of a switch in slow start from an instance's own counts; `chance` bounds the sum over independent
instances.
`interface` and `state` hold records; `handover` exports and imports learned state.

A booker (an upstream server) is called `switch` here, as in the simulator's frames.
"""

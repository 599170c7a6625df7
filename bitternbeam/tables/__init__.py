"""Tables of numbered slots, and the scheduler of deadlines."""

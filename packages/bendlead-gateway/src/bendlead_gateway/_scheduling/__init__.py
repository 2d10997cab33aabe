"""Scheduling decisions: admission, queueing, placement and preemption.

The modules do no I/O, start no tasks and read no clock; callers pass in the
state of the fleet, the time and a source of random numbers.
"""

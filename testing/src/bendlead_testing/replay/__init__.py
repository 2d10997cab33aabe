"""Replay a load through the gateway's scheduling code in simulated time.

Engines run as many requests as they have slots and queue the others in order.
Entries place requests, and owners place items, by counts that are some time
old. The decisions are made by the code of the gateway; clients, engines and
the network are simulated.
"""

from bendlead_testing.replay._load import Load, SpeedVariation, Tally
from bendlead_testing.replay._play import Replay

__all__ = ('Load', 'Replay', 'SpeedVariation', 'Tally')

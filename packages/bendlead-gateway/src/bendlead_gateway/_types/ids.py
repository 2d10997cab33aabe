"""Distinct types for ids and names."""

from typing import NewType

RequestId = NewType('RequestId', str)
#: Part of a prompt that several requests may share.
PromptPart = NewType('PromptPart', str)
JobId = NewType('JobId', str)
ItemId = NewType('ItemId', str)
EngineId = NewType('EngineId', str)
EngineVersion = NewType('EngineVersion', str)
ServiceName = NewType('ServiceName', str)
DataHall = NewType('DataHall', str)
NodeName = NewType('NodeName', str)

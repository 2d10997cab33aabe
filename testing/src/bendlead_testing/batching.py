"""Continuous batching of a stand-in engine: slots, memory, prefix cache."""

import time
from collections import Counter, OrderedDict, deque
from collections.abc import Iterator
from dataclasses import dataclass, field

import gevent
import xxhash
from gevent.event import Event
from gevent.queue import Queue

_BLOCK_TOKENS = 16
_PREFILL_PER_STEP = 2048
_CHARACTERS_PER_TOKEN = 4
_LOAD_LAG_SECONDS = 0.5


@dataclass(slots=True)
class Speed:
    """Say how long a step takes (seconds)."""

    base: float = 0.01
    sequence: float = 0.0002
    prefill: float = 0.00002


@dataclass(eq=False, slots=True)
class Sequence:
    """Follow one request through the engine."""

    name: str
    prompt: str
    wanted: int
    made: int
    priority: int
    arrived: float
    prefill: int = 0
    tokens: Queue = field(default_factory=Queue)
    cancelled: bool = False

    @property
    def memory(self) -> int:
        """Tell how many tokens of KV memory the sequence takes."""
        return len(self.prompt) // _CHARACTERS_PER_TOKEN + self.made


def token_at(prompt: str, position: int) -> str:
    """Give the token of a prompt's answer at a position."""
    return (
        f'{xxhash.xxh3_64_intdigest(f"{prompt}/{position}".encode()):016x}'[:4]
        + ' '
    )


def expected_text(prompt: str, tokens: int) -> str:
    """Give the whole answer to a prompt."""
    return ''.join(token_at(prompt, position) for position in range(tokens))


class StandInEngine:
    """Batch continuously by steps, online before batch by priority."""

    def __init__(self, slots: int, memory: int, speed: Speed) -> None:
        self._slots = slots
        self._memory = memory
        self._speed = speed
        self._waiting: list[Sequence] = []
        self._running: list[Sequence] = []
        self._cache: OrderedDict[int, int] = OrderedDict()
        self._cache_events: deque[tuple[float, int]] = deque(maxlen=10_000)
        self._reports: deque[tuple[float, dict]] = deque(maxlen=1000)
        self._work = Event()
        self._fence = 0
        self._stepped = Event()
        self._stopped_at: dict[str, int] = {}
        self.wasted = 0
        self.starts: Counter[str] = Counter()
        self.tokens: Counter[str] = Counter()
        self.steps = 0
        self.busy = 0.0

    def submit(self, sequence: Sequence) -> None:
        """Queue a request."""
        self.starts[sequence.name] += 1
        stopped_at = self._stopped_at.pop(sequence.name, sequence.made)
        self.wasted += max(0, stopped_at - sequence.made)
        if sequence.made >= sequence.wanted:
            # Resumed at its end: nothing is left to make.
            sequence.tokens.put(None)
            return
        sequence.prefill = self._uncached(sequence.prompt) + sequence.made
        self._waiting.append(sequence)
        self._work.set()

    def cancel(self, names: frozenset[str]) -> None:
        """Stop requests; their slots are free at the next step."""
        for sequence in [*self._waiting, *self._running]:
            if sequence.name in names:
                self.drop(sequence)
        while any(one.name in names for one in self._running):
            self._stepped.clear()
            self._stepped.wait()

    def drop(self, sequence: Sequence) -> None:
        """Stop one request."""
        if not sequence.cancelled and sequence.made < sequence.wanted:
            self._stopped_at[sequence.name] = sequence.made
        sequence.cancelled = True
        sequence.tokens.put(None)

    def run(self) -> None:
        """Step while there is work."""
        while True:
            self._running = [one for one in self._running if not one.cancelled]
            self._waiting = [one for one in self._waiting if not one.cancelled]
            self._stepped.set()
            self._admit()
            if not self._running:
                self._work.clear()
                self._work.wait()
                continue
            self._step()

    def load(self) -> dict:
        """Report the load as it was a while ago."""
        until = time.monotonic() - _LOAD_LAG_SECONDS
        older = [report for at, report in self._reports if at <= until]
        return older[-1] if older else {'running': 0, 'waiting': 0}

    def cache_events(self) -> list[int]:
        """Report cached blocks late and with gaps."""
        until = time.monotonic() - _LOAD_LAG_SECONDS
        seen = [block for at, block in self._cache_events if at <= until]
        return [block for block in seen if block % 10]

    def order(self, fence: int, *, checks: bool) -> bool:
        """Take an order, unless its fencing number is old and checked."""
        if checks and fence < self._fence:
            return False
        self._fence = max(self._fence, fence)
        return True

    def stats(self) -> dict:
        """Count what ran."""
        online = sum(1 for one in self._running if not one.priority)
        return {
            'starts': dict(self.starts),
            'tokens': dict(self.tokens),
            'steps': self.steps,
            'wasted': self.wasted,
            'busy': self.busy,
            'running': len(self._running),
            'online': online,
            'waiting': len(self._waiting),
        }

    def _admit(self) -> None:
        self._waiting.sort(key=_rank)
        used = sum(one.memory for one in self._running)
        while self._waiting and len(self._running) < self._slots:
            following = self._waiting[0]
            used += following.memory
            if used > self._memory and self._running:
                return
            self._running.append(self._waiting.pop(0))

    def _step(self) -> None:
        prefill = 0
        for sequence in self._running:
            taken = min(sequence.prefill, _PREFILL_PER_STEP - prefill)
            sequence.prefill -= taken
            prefill += taken
        speed = self._speed
        seconds = speed.base + speed.prefill * prefill
        seconds += speed.sequence * len(self._running)
        gevent.sleep(seconds)
        self.steps += 1
        self.busy += seconds
        for sequence in self._running:
            if not sequence.prefill and not sequence.cancelled:
                self._emit(sequence)
        self._running = [one for one in self._running if one.made < one.wanted]
        self._note_load()

    def _emit(self, sequence: Sequence) -> None:
        sequence.tokens.put(token_at(sequence.prompt, sequence.made))
        sequence.made += 1
        kind = 'batch' if sequence.priority else 'online'
        self.tokens[kind] += 1
        if sequence.made >= sequence.wanted:
            self._remember(sequence.prompt)
            sequence.tokens.put(None)

    def _note_load(self) -> None:
        report = {
            'running': len(self._running),
            'waiting': len(self._waiting),
        }
        self._reports.append((time.monotonic(), report))

    def _uncached(self, prompt: str) -> int:
        tokens = len(prompt) // _CHARACTERS_PER_TOKEN
        cached = 0
        for block in _blocks(prompt):
            if block not in self._cache:
                break
            self._cache.move_to_end(block)
            cached += _BLOCK_TOKENS
        return max(1, tokens - cached)

    def _remember(self, prompt: str) -> None:
        for block in _blocks(prompt):
            self._cache[block] = _BLOCK_TOKENS
            self._cache_events.append((time.monotonic(), block))
        while len(self._cache) * _BLOCK_TOKENS > self._memory // 2:
            self._cache.popitem(last=False)


def _rank(sequence: Sequence) -> tuple[int, float]:
    return (sequence.priority, sequence.arrived)


def _blocks(prompt: str) -> Iterator[int]:
    size = _BLOCK_TOKENS * _CHARACTERS_PER_TOKEN
    for end in range(size, len(prompt) + 1, size):
        yield xxhash.xxh3_64_intdigest(prompt[:end].encode())

"""A stand-in model engine with continuous batching, and a plain service.

Text is a function of the prompt, so that a reader can tell that an answer is
whole and belongs to its request.
"""

import bendlead_testing.patched  # noqa: F401, I001

import argparse
import time
from collections import Counter, OrderedDict, deque
from collections.abc import Iterator
from dataclasses import dataclass, field

import gevent
import msgspec
import xxhash
from bendlead_node._common.web import (
    Answer,
    Call,
    CallError,
    Route,
    WebApp,
    WebServer,
    json_answer,
)
from gevent.event import Event
from gevent.queue import Queue

_BODY_BYTES = 64_000_000
_DEFAULT_TOKENS = 16
_BLOCK_TOKENS = 16
_PREFILL_PER_STEP = 2048
_CHARACTERS_PER_TOKEN = 4
_LOAD_LAG_SECONDS = 0.5
_POISON = 'poison'


class Body(msgspec.Struct):
    """Read what matters of a completion request."""

    model: str
    messages: list[dict] = []
    prompt: str = ''
    max_tokens: int = _DEFAULT_TOKENS
    stream: bool = False

    def text(self) -> str:
        """Give the whole prompt."""
        if self.prompt:
            return self.prompt
        return '\n'.join(str(one.get('content', '')) for one in self.messages)


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


class EngineApi:
    """Serve the stand-in over the protocol engines speak."""

    def __init__(self, engine: StandInEngine, *, checks: bool) -> None:
        self._engine = engine
        self._checks = checks
        self._die_on_poison = True

    def routes(self) -> list[Route]:
        """List the paths of the engine."""
        return [
            Route('POST', '/v1/chat/completions', self.complete),
            Route('POST', '/v1/completions', self.complete),
            Route('POST', '/v1/cancel', self.cancel),
            Route('POST', '/v1/orders', self.order),
            Route('GET', '/load', self._load),
            Route('GET', '/cache', self._cache),
            Route('GET', '/stats', self._stats),
        ]

    def complete(self, call: Call) -> Answer:
        """Answer a completion, whole or as a stream."""
        body = msgspec.json.decode(call.body(_BODY_BYTES), type=Body)
        prompt = body.text()
        if _POISON in prompt:
            raise CallError(500, 'engine_fault', 'the engine failed')
        sequence = Sequence(
            name=call.header('X-Request-Id') or 'unnamed',
            prompt=prompt,
            wanted=body.max_tokens,
            made=int(call.header('Last-Event-ID') or 0),
            priority=int(call.header('X-Priority') or 0),
            arrived=time.monotonic(),
        )
        self._engine.submit(sequence)
        chat = call.path == '/v1/chat/completions'
        if body.stream:
            stream = self._stream(sequence, body, chat=chat)
            return Answer(200, stream, {'Content-Type': 'text/event-stream'})
        text = ''.join(iter(sequence.tokens.get, None))
        return json_answer(_completion(sequence, body, text, chat=chat))

    def cancel(self, call: Call) -> Answer:
        """Stop requests by name; answer when their slots are free."""
        body = call.body(_BODY_BYTES)
        asked = msgspec.json.decode(body, type=dict[str, list[str]])
        self._engine.cancel(frozenset(asked['requests']))
        return json_answer({})

    def order(self, call: Call) -> Answer:
        """Take an order to load a model or change role."""
        body = call.body(_BODY_BYTES)
        fence = msgspec.json.decode(body, type=dict[str, int])['fence']
        if not self._engine.order(fence, checks=self._checks):
            raise CallError(409, 'old_fence', f'{fence} is old')
        return json_answer({})

    def _stream(
        self,
        sequence: Sequence,
        body: Body,
        *,
        chat: bool,
    ) -> Iterator[bytes]:
        number = sequence.made
        try:
            for token in iter(sequence.tokens.get, None):
                number += 1
                yield _event(sequence, body, number, token, chat=chat)
            if not sequence.cancelled:
                yield b'data: [DONE]\n\n'
        finally:
            self._engine.drop(sequence)

    def _load(self, _call: Call) -> Answer:
        return json_answer(self._engine.load())

    def _cache(self, _call: Call) -> Answer:
        return json_answer(self._engine.cache_events())

    def _stats(self, _call: Call) -> Answer:
        return json_answer(self._engine.stats())


class PlainApi:
    """Serve a plain service that counts its calls by their body."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._starts: Counter[str] = Counter()

    def routes(self) -> list[Route]:
        """List the paths of the service."""
        return [
            Route('POST', '/<path:rest>', self.answer),
            Route('GET', '/stats', self._stats),
            Route('GET', '/<path:rest>', self.answer),
        ]

    def answer(self, call: Call) -> Answer:
        """Count a call and echo its body."""
        body = call.body(_BODY_BYTES)
        self._starts[body.decode()] += 1
        gevent.sleep(self._seconds)
        return json_answer({'path': call.path, 'echo': body.decode()})

    def _stats(self, _call: Call) -> Answer:
        return json_answer({'starts': dict(self._starts)})


def _rank(sequence: Sequence) -> tuple[int, float]:
    return (sequence.priority, sequence.arrived)


def _blocks(prompt: str) -> Iterator[int]:
    size = _BLOCK_TOKENS * _CHARACTERS_PER_TOKEN
    for end in range(size, len(prompt) + 1, size):
        yield xxhash.xxh3_64_intdigest(prompt[:end].encode())


def _event(
    sequence: Sequence,
    body: Body,
    number: int,
    token: str,
    *,
    chat: bool,
) -> bytes:
    finish = 'stop' if number >= body.max_tokens else None
    choice = {'index': 0, 'finish_reason': finish}
    if chat:
        choice['delta'] = {'role': 'assistant', 'content': token}
    else:
        choice['text'] = token
    shown = msgspec.json.encode(
        {
            'id': sequence.name,
            'object': 'chat.completion.chunk' if chat else 'text_completion',
            'created': 0,
            'model': body.model,
            'choices': [choice],
        }
    )
    return b'id: %d\ndata: %b\n\n' % (number, shown)


def _completion(
    sequence: Sequence,
    body: Body,
    text: str,
    *,
    chat: bool,
) -> dict:
    choice = {'index': 0, 'finish_reason': 'stop'}
    if chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    return {
        'id': sequence.name,
        'object': 'chat.completion' if chat else 'text_completion',
        'created': 0,
        'model': body.model,
        'choices': [choice],
        'usage': {
            'prompt_tokens': sequence.memory - sequence.made,
            'completion_tokens': body.max_tokens,
            'total_tokens': sequence.memory,
        },
    }


def main() -> None:
    """Serve one stand-in until ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument('port', type=int)
    parser.add_argument('--slots', type=int, default=16)
    parser.add_argument('--memory', type=int, default=100_000)
    parser.add_argument('--base', type=float, default=0.01)
    parser.add_argument('--sequence', type=float, default=0.0002)
    parser.add_argument('--prefill', type=float, default=0.00002)
    parser.add_argument('--plain', type=float, default=-1)
    parser.add_argument('--checks-fencing', action='store_true')
    asked = parser.parse_args()
    if asked.plain >= 0:
        routes = PlainApi(asked.plain).routes()
    else:
        speed = Speed(asked.base, asked.sequence, asked.prefill)
        engine = StandInEngine(asked.slots, asked.memory, speed)
        gevent.spawn(engine.run)
        routes = EngineApi(engine, checks=asked.checks_fencing).routes()
    server = WebServer('127.0.0.1', asked.port, WebApp(routes))
    server.start()
    gevent.get_hub().join()


if __name__ == '__main__':
    main()

"""The protocol of a stand-in model engine, and a plain service.

Text is a function of the prompt, so that a reader can tell that an answer is
whole and belongs to its request.
"""

import bendlead_testing.patched  # noqa: F401, I001

import argparse
import os
import time
from collections import Counter
from collections.abc import Iterator

import gevent
import msgspec
from bendlead_node._common.web import (
    Answer,
    Call,
    CallError,
    Route,
    WebApp,
    WebServer,
    json_answer,
)
from bendlead_testing.batching import (
    Sequence,
    Speed,
    StandInEngine,
    expected_text,
)

__all__ = ('Speed', 'StandInEngine', 'expected_text')

_BODY_BYTES = 64_000_000
_DEFAULT_TOKENS = 16
_POISON = 'poison'
#: How long an engine runs a request under which it ends (s).
_ENDS_AFTER = 0.05


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


class EngineApi:
    """Serve the stand-in over the protocol engines speak."""

    def __init__(
        self, engine: StandInEngine, *, checks: bool, ends_on: str = ''
    ) -> None:
        self._engine = engine
        self._checks = checks
        self._ends_on = ends_on

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
        if self._ends_on and self._ends_on in prompt:
            gevent.spawn_later(_ENDS_AFTER, os._exit, 1)
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
    parser.add_argument('--ends-on', default='')
    asked = parser.parse_args()
    if asked.plain >= 0:
        routes = PlainApi(asked.plain).routes()
    else:
        speed = Speed(asked.base, asked.sequence, asked.prefill)
        engine = StandInEngine(asked.slots, asked.memory, speed)
        gevent.spawn(engine.run)
        routes = EngineApi(
            engine, checks=asked.checks_fencing, ends_on=asked.ends_on
        ).routes()
    server = WebServer('127.0.0.1', asked.port, WebApp(routes))
    server.start()
    gevent.get_hub().join()


if __name__ == '__main__':
    main()

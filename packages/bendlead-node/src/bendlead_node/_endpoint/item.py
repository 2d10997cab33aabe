"""Run one batch item as a stream that can be stopped and resumed."""

import uuid
from collections.abc import Callable
from enum import Enum
from http import HTTPStatus

import msgspec
from bendlead_schema.messages import GrantedItem, ItemReport
from result import Err

from bendlead_node._common.limited import AnswerTooLargeError, LimitedResponse
from bendlead_node._common.limits import MAX_BODY_BYTES
from bendlead_node._common.upstream import abandon, events, read_body
from bendlead_node._common.web import JSON_TYPE
from bendlead_node._endpoint.engine import BATCH_PRIORITY, Engine

_ID_FIELD = b'id: '
_DATA_FIELD = b'data: '
_DONE = b'[DONE]'
#: Answers of an engine that is full or away, or of something in front of it.
_AWAY = frozenset(
    (
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.BAD_GATEWAY,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.GATEWAY_TIMEOUT,
    )
)
_OBJECT_NAMES = {
    '/v1/chat/completions': 'chat.completion',
    '/v1/completions': 'text_completion',
}


class ItemState(Enum):
    """Say how a run of an item ended."""

    WAITING = 'waiting'
    RUNNING = 'running'
    PREEMPTED = 'preempted'
    FINISHED = 'finished'
    FAILED = 'failed'
    #: Its answer broke off, as when the engine crashes.
    CUT = 'cut'
    UNREACHED = 'unreached'
    DROPPED = 'dropped'


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta | None = None
    text: str = ''
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    choices: list[_Choice] = []
    model: str = ''


_CHUNK = msgspec.json.Decoder(_Chunk)


class BatchItem:
    """Keep the tokens an item has so far across stops."""

    def __init__(self, run: str, granted: GrantedItem) -> None:
        self.run = run
        self.granted = granted
        self.request = _new_name()
        self.state = ItemState.WAITING
        self.report: ItemReport | None = None
        self._text = bytearray()
        self._tokens = 0
        self._finish = 'stop'
        self._finished = False
        self._model = ''
        self._last_id = b''
        self._response: LimitedResponse | None = None

    @property
    def tokens(self) -> int:
        """Tell how many tokens the item has so far."""
        return self._tokens

    def preempt(self) -> None:
        """Stop; what was done stays for a later resume."""
        self._stop(ItemState.PREEMPTED)

    def drop(self) -> None:
        """Stop for good; the job needs the item no more."""
        self._stop(ItemState.DROPPED)

    def execute(self, engine: Engine, note: Callable[[], None]) -> ItemState:
        """Run until the end, a stop or a failure."""
        self.state = ItemState.RUNNING
        # A late cancel of the last attempt must not meet this one.
        self.request = _new_name()
        sent = engine.send(
            'POST',
            self.granted.path,
            _streamed(self.granted.body),
            self._headers(),
        )
        if isinstance(sent, Err):
            unreached = sent.err_value.had_no_effect
            state = ItemState.UNREACHED if unreached else ItemState.CUT
            return self._ended(state)
        self._response = sent.ok_value
        if self.state is not ItemState.RUNNING:
            # Stopped before the engine answered: its cancel came too early.
            abandon(self._response)
            engine.cancel([self.request])
            return self.state
        if self._response.status_code != HTTPStatus.OK:
            return self._refused(self._response)
        try:
            for event in events(self._response):
                if self._take(event):
                    return self._completed()
                note()
                self._check_size(self._response)
        except Exception as error:  # the library raises many kinds
            return self._cut_short(_state_after(error))
        return self._cut_short(ItemState.CUT)

    def _stop(self, state: ItemState) -> None:
        self.state = state
        if self._response is not None:
            abandon(self._response)

    def _cut_short(self, state: ItemState) -> ItemState:
        if self._finished:
            # Every token is here; only the closing event is not.
            return self._completed()
        return self._ended(state)

    def _check_size(self, response: LimitedResponse) -> None:
        # The result of an item is kept as a whole.
        if len(self._text) > MAX_BODY_BYTES:
            raise response.give_up('body', MAX_BODY_BYTES)

    def _ended(self, state: ItemState) -> ItemState:
        # A stop closes the stream, which looks like a failure here.
        if self.state is ItemState.RUNNING:
            self.state = state
        return self.state

    def _refused(self, response: LimitedResponse) -> ItemState:
        status = response.status_code
        body = read_body(response).unwrap_or(b'{}').decode()
        if status in _AWAY:
            return self._ended(ItemState.UNREACHED)
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            return self._ended(ItemState.FAILED)
        self.report = self._reported(status, body, failed=True)
        return self._ended(ItemState.FINISHED)

    def _headers(self) -> dict[str, str]:
        headers = {
            'Content-Type': JSON_TYPE,
            'X-Priority': BATCH_PRIORITY,
            'X-Request-Id': self.request,
        }
        if self._last_id:
            headers['Last-Event-ID'] = self._last_id.decode()
        return headers

    def _take(self, event: bytes) -> bool:
        for line in event.splitlines():
            if line.startswith(_ID_FIELD):
                self._last_id = line.removeprefix(_ID_FIELD)
            elif line.startswith(_DATA_FIELD):
                shown = line.removeprefix(_DATA_FIELD)
                if shown == _DONE:
                    return True
                self._take_chunk(_CHUNK.decode(shown))
        return False

    def _take_chunk(self, chunk: _Chunk) -> None:
        self._model = chunk.model or self._model
        for choice in chunk.choices:
            piece = choice.delta.content if choice.delta else choice.text
            if piece:
                self._text += piece.encode()
                self._tokens += 1
            if choice.finish_reason:
                self._finished = True
                self._finish = choice.finish_reason

    def _completed(self) -> ItemState:
        text = self._text.decode()
        choice = {'index': 0, 'finish_reason': self._finish}
        if self.granted.path == '/v1/completions':
            choice['text'] = text
        else:
            choice['message'] = {'role': 'assistant', 'content': text}
        body = msgspec.json.encode(
            {
                'id': self.request,
                'object': _OBJECT_NAMES.get(self.granted.path, ''),
                'model': self._model,
                'choices': [choice],
                'usage': {'completion_tokens': self._tokens},
            }
        )
        self.report = self._reported(HTTPStatus.OK, body.decode())
        if self.state is not ItemState.DROPPED:
            # Whole is whole, even where a stop came with the last token.
            self.state = ItemState.FINISHED
        return self.state

    def _reported(
        self,
        status: int,
        body: str,
        *,
        failed: bool = False,
    ) -> ItemReport:
        return ItemReport(
            position=self.granted.position,
            status=status,
            body=body,
            failed=failed,
        )


def _state_after(error: Exception) -> ItemState:
    # It would be as large at the next engine, so its runs are bounded.
    large = isinstance(error, AnswerTooLargeError)
    return ItemState.FAILED if large else ItemState.CUT


def _new_name() -> str:
    return f'item-{uuid.uuid4().hex}'


def _streamed(body: str) -> bytes:
    fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    fields['stream'] = msgspec.Raw(b'true')
    return msgspec.json.encode(fields)

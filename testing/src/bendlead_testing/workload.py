"""Requests whose right answers are known."""

import json
import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from openai import OpenAI

from bendlead_testing.cluster import MODEL, TEAM_KEY, Cluster
from bendlead_testing.engine import expected_text

_POLL_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class Tally:
    """Count what the outputs of a job hold."""

    total: int
    completed: int
    duplicates: int
    lost: int
    wrong: int


def client(cluster: Cluster, entry: int = 0, key: str = TEAM_KEY) -> OpenAI:
    """Connect the official client to an entry."""
    return OpenAI(
        api_key=key,
        base_url=f'{cluster.entries[entry].url}/v1',
        max_retries=0,
        timeout=60,
    )


def prompt_of(position: int) -> str:
    """Give the prompt of an item."""
    return f'Write the route note of order {position}'


def chat_body(prompt: str, tokens: int = 8, **fields: Any) -> dict[str, Any]:
    """Give a chat request."""
    return {
        'model': MODEL,
        'messages': [{'role': 'user', 'content': prompt}],
        'max_tokens': tokens,
        **fields,
    }


def batch_lines(count: int, tokens: int = 8) -> bytes:
    """Give a batch input file."""
    lines = [
        json.dumps(
            {
                'custom_id': f'order-{position}',
                'method': 'POST',
                'url': '/v1/chat/completions',
                'body': chat_body(prompt_of(position), tokens),
            }
        )
        for position in range(count)
    ]
    return '\n'.join(lines).encode()


def submit(
    caller: OpenAI,
    lines: bytes,
    key: str = '',
    window: str = '24h',
) -> str:
    """Upload a file and submit it as a job."""
    stored = caller.files.create(
        file=('orders.jsonl', lines),
        purpose='batch',
    )
    headers = {'Idempotency-Key': key} if key else {}
    job = caller.batches.create(
        input_file_id=stored.id,
        endpoint='/v1/chat/completions',
        completion_window=window,
        extra_headers=headers,
    )
    return job.id


def wait_finished(caller: OpenAI, job: str, seconds: float) -> str:
    """Wait for the end of a job and give its status."""
    until = time.monotonic() + seconds
    status = 'unreachable'
    while time.monotonic() < until:
        try:
            status = caller.batches.retrieve(job).status
        except Exception:  # an entry may be away for a moment
            status = 'unreachable'
        if status in {'completed', 'cancelled'}:
            return status
        time.sleep(_POLL_SECONDS)
    return status


def tally(caller: OpenAI, job: str, count: int, tokens: int = 8) -> Tally:
    """Read the output file and count what is right and wrong in it."""
    text = caller.files.content(f'file-out-{job}').text
    outputs = [json.loads(line) for line in text.splitlines()]
    return tally_lines(outputs, count, tokens)


def tally_lines(
    outputs: Iterable[dict[str, Any]],
    count: int,
    tokens: int = 8,
) -> Tally:
    """Count what is right and wrong in output lines."""
    seen: Counter[str] = Counter()
    wrong = 0
    for line in outputs:
        name = line['custom_id']
        seen[name] += 1
        position = int(name.rsplit('-', 1)[1])
        message = line['response']['body']['choices'][0]['message']
        right = expected_text(prompt_of(position), tokens)
        wrong += message['content'] != right
    return Tally(
        total=count,
        completed=len(seen),
        duplicates=sum(times - 1 for times in seen.values()),
        lost=count - len(seen),
        wrong=wrong,
    )


def stream_text(caller: OpenAI, prompt: str, tokens: int = 8) -> str:
    """Stream a chat answer and give its text."""
    stream = caller.chat.completions.create(
        **chat_body(prompt, tokens),
        stream=True,
    )
    return ''.join(chunk.choices[0].delta.content or '' for chunk in stream)

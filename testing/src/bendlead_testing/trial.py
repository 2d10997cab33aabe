"""Callers who know the right answers, while the deployment is broken."""

import contextlib
import json
import random
import threading
import time
from collections import Counter
from dataclasses import dataclass, field

from bendlead_testing.cluster import Cluster
from bendlead_testing.daemons import http
from bendlead_testing.engine import expected_text
from bendlead_testing.faults import FAULTS
from bendlead_testing.workload import (
    batch_lines,
    chat_body,
    client,
    submit,
    tally,
    wait_finished,
)

_TOKENS = 6
_JOB_ITEMS = 150
_RESENDS = 12
_PAUSE = 0.05
_DRAIN_SECONDS = 60
_CALL_SECONDS = 20


@dataclass
class Outcome:
    """Count what callers saw against what must always hold."""

    accepted: int = 0
    completed: int = 0
    lost: int = 0
    doubled: int = 0
    wrong: int = 0
    ran_after_not_run: int = 0
    twice_run_at_most_once: int = 0
    recorded_after_cancel: int = 0
    unfinished: int = 0
    faults: Counter[str] = field(default_factory=Counter)
    told: Counter[str] = field(default_factory=Counter)

    @property
    def whole(self) -> bool:
        """Tell whether every promise held."""
        return not any(
            (
                self.lost,
                self.doubled,
                self.wrong,
                self.ran_after_not_run,
                self.twice_run_at_most_once,
                self.recorded_after_cancel,
                self.unfinished,
            )
        )


class Trial:
    """Run callers beside faults, then check every promise from outside."""

    def __init__(self, cluster: Cluster, seed: int) -> None:
        self._cluster = cluster
        self._chance = random.Random(seed)
        self._seed = seed
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._jobs: dict[str, str] = {}
        self._cancelled: dict[str, int] = {}
        self._once: dict[str, str] = {}
        self.outcome = Outcome()

    def run(self, names: list[str], fault_seconds: float) -> Outcome:
        """Bring the named faults about together, heal, and check."""
        callers = self.start_callers()
        time.sleep(0.5)
        self.break_and_heal(names, fault_seconds)
        time.sleep(0.5)
        self.finish(callers)
        return self.outcome

    def start_callers(self) -> list[threading.Thread]:
        """Start all kinds of callers."""
        kinds = (self._chats, self._recorded, self._charges, self._batches)
        callers = [threading.Thread(target=kind) for kind in kinds]
        for caller in callers:
            caller.start()
        return callers

    def break_and_heal(self, names: list[str], seconds: float) -> None:
        """Keep the named faults up for a while."""
        heals = []
        for name in names:
            self.outcome.faults[name] += 1
            heals.append(FAULTS[name](self._cluster, self._chance))
        time.sleep(seconds)
        for heal in heals:
            heal()

    def finish(self, callers: list[threading.Thread]) -> None:
        """Stop the callers and check what must always hold."""
        self._stop.set()
        for caller in callers:
            caller.join()
        for key, job in self._jobs.items():
            self._check_job(key, job)
        self._check_charges()

    def _entry(self) -> int:
        with self._lock:
            return self._chance.randrange(len(self._cluster.entries))

    def _note(self, **counts: int) -> None:
        with self._lock:
            for name, count in counts.items():
                setattr(self.outcome, name, getattr(self.outcome, name) + count)

    def _chats(self) -> None:
        number = 0
        while not self._stop.is_set():
            number += 1
            self._chat(f'chat {self._seed} {number}')
            time.sleep(_PAUSE)

    def _chat(self, prompt: str) -> None:
        right = expected_text(prompt, _TOKENS)
        got = ''
        with contextlib.suppress(Exception):
            stream = client(
                self._cluster,
                self._entry(),
            ).chat.completions.create(
                **chat_body(prompt, _TOKENS),
                stream=True,
                timeout=_CALL_SECONDS,
            )
            for chunk in stream:
                got += chunk.choices[0].delta.content or ''
        # A lost entry takes its callers' connections with it; what came
        # before must still be the beginning of the right answer.
        self._note(wrong=not right.startswith(got))
        self.outcome.told['chat whole' if got == right else 'chat cut'] += 1

    def _recorded(self) -> None:
        number = 0
        while not self._stop.is_set():
            number += 1
            prompt = f'recorded {self._seed} {number}'
            bodies = set(self._resend_until_done(prompt))
            right = expected_text(prompt, _TOKENS)
            self._note(
                accepted=1,
                completed=bool(bodies),
                unfinished=not bodies,
                wrong=any(right not in body for body in bodies),
                doubled=max(0, len(bodies) - 1),
            )
            time.sleep(_PAUSE)

    def _resend_until_done(self, prompt: str) -> list[str]:
        """Send until one answer is recorded, then once more elsewhere."""
        bodies: list[str] = []
        for _resend in range(_RESENDS):
            with contextlib.suppress(OSError):
                status, headers, body = self._cluster.call(
                    '/v1/chat/completions',
                    chat_body(prompt, _TOKENS),
                    self._entry(),
                    Idempotency_Key=prompt,
                )
                kept = headers.get('X-Bendlead-Recorded') == 'yes'
                if status == 200 and kept:
                    bodies.append(body.decode())
            if len(bodies) > 1:
                break
            time.sleep(0.3 if not bodies else 0)
        return bodies

    def _charges(self) -> None:
        number = 0
        while not self._stop.is_set():
            number += 1
            charge = f'charge {self._seed} {number}'
            told = self._charge(charge)
            self._once[json.dumps(charge)] = told
            self.outcome.told[f'charge {told}'] += 1
            time.sleep(_PAUSE)

    def _charge(self, charge: str) -> str:
        for _resend in range(3):
            with contextlib.suppress(OSError):
                status, headers, _body = self._cluster.call(
                    '/services/billing/charge',
                    charge,
                    self._entry(),
                    Idempotency_Key=charge,
                )
                outcome = headers.get('X-Bendlead-Outcome', 'none')
                if status == 200 or outcome == 'unknown':
                    return outcome
                if outcome == 'not_run':
                    return outcome
            time.sleep(0.3)
        return 'no answer'

    def _batches(self) -> None:
        number = 0
        while not self._stop.is_set():
            number += 1
            key = f'job-{self._seed}-{number}'
            job = self._submit(key)
            if job is None:
                continue
            self._jobs[key] = job
            self._note(accepted=_JOB_ITEMS)
            if number % 3 == 2:
                self._cancel(job)
            self._stop.wait(1.0)

    def _submit(self, key: str) -> str | None:
        lines = batch_lines(_JOB_ITEMS, _TOKENS)
        for _resend in range(_RESENDS):
            with contextlib.suppress(Exception):
                caller = client(self._cluster, self._entry())
                job = submit(caller, lines, key)
                # A resend anywhere names the same job; the file differs.
                return job
            if self._stop.is_set():
                return None
            time.sleep(0.3)
        return None

    def _cancel(self, job: str) -> None:
        with contextlib.suppress(Exception):
            caller = client(self._cluster, self._entry())
            shown = caller.batches.cancel(job)
            if shown.status == 'cancelled':
                self._cancelled[job] = shown.request_counts.completed

    def _check_job(self, key: str, job: str) -> None:
        caller = client(self._cluster)
        status = wait_finished(caller, job, _DRAIN_SECONDS)
        if job in self._cancelled:
            now = caller.batches.retrieve(job).request_counts.completed
            self._note(recorded_after_cancel=now - self._cancelled[job])
            return
        if status == 'cancelled':
            return
        if status != 'completed':
            self._note(unfinished=1)
            self.outcome.told[f'{job} {status}'] += 1
            return
        counted = tally(caller, job, _JOB_ITEMS, _TOKENS)
        self.outcome.told['batch wrong'] += counted.wrong
        self._note(
            completed=counted.completed,
            lost=counted.lost,
            doubled=counted.duplicates,
            wrong=counted.wrong,
        )

    def _check_charges(self) -> None:
        _status, _headers, body = http(
            'GET', f'{self._cluster.plain.url}/stats'
        )
        starts = json.loads(body)['starts']
        for charge, told in self._once.items():
            runs = starts.get(charge, 0)
            self._note(
                twice_run_at_most_once=runs > 1,
                ran_after_not_run=told == 'not_run' and runs > 0,
                lost=told == 'complete' and runs == 0,
            )


def cluster_for_trials() -> Cluster:
    """Start a deployment whose every link can be broken."""
    return Cluster(
        entries=3,
        engines=3,
        plain=True,
        proxied=True,
        settings={'heartbeat': 0.2, 'suspect_after': 1.0},
        ledger={'lease': 2.0, 'shards': 4, 'flush': 0.2},
    )

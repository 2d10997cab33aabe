"""Callers' batch jobs, in the shape OpenAI clients use."""

import time
from http import HTTPStatus
from typing import Any

import msgspec
from bendlead_gateway.json_values import DECODE_ERRORS
from bendlead_ledger import ShardId, digest, job_id, shard_of
from bendlead_schema.messages import (
    CancelJob,
    Command,
    DescribeJob,
    JobList,
    JobPhase,
    JobView,
    ListJobs,
    Refusal,
    SubmitJob,
)
from bendlead_schema.objects import Team
from bendlead_schema.records import FileManifest

from bendlead_node._common.web import (
    Answer,
    Call,
    CallError,
    Route,
    json_answer,
)
from bendlead_node._entry.files import FileApi, done
from bendlead_node._entry.gate import Gate
from bendlead_node._entry.outputs import error_file, output_file
from bendlead_node._entry.ownership import ShardTable

_WINDOWS = {'h': 3600, 'm': 60, 's': 1}
_BODY_BYTES = 65536
_STATUS_OF = {
    'not_found': HTTPStatus.NOT_FOUND,
    'idempotency_mismatch': HTTPStatus.UNPROCESSABLE_ENTITY,
}


class _Created(msgspec.Struct):
    input_file_id: str
    endpoint: str
    completion_window: str = '24h'
    metadata: dict[str, str] | None = None


class BatchApi:
    """Submit, show and cancel the jobs of teams."""

    def __init__(
        self,
        gate: Gate,
        files: FileApi,
        shards: ShardTable,
    ) -> None:
        self._gate = gate
        self._files = files
        self._shards = shards

    def routes(self) -> list[Route]:
        """List the paths that callers use."""
        return [
            Route('POST', '/v1/batches', self.create),
            Route('GET', '/v1/batches', self.list_batches),
            Route('GET', '/v1/batches/<job>', self.show),
            Route('POST', '/v1/batches/<job>/cancel', self.cancel),
        ]

    def create(self, call: Call) -> Answer:
        """Accept a job once its record is durable."""
        team = self._gate.team(call)
        body = call.body(_BODY_BYTES)
        wanted = _wanted(body)
        manifest = self._files.manifest(team, wanted.input_file_id)
        key = call.header('Idempotency-Key')
        job = job_id(team.name, key, self._shards.count)
        command = SubmitJob(
            job=job,
            team=team.name,
            key=key,
            fingerprint=digest(body.decode()),
            input_file=manifest.file,
            path=wanted.endpoint,
            chunks=manifest.chunks,
            item_count=manifest.item_count,
            rejected=[error.line - 1 for error in manifest.errors],
            deadline=time.time() + _window(wanted.completion_window),
            metadata=wanted.metadata or {},
        )
        view = self._job(job, command)
        return json_answer(_batch(view, manifest))

    def show(self, call: Call) -> Answer:
        """Show one job."""
        team = self._gate.team(call)
        job = call.fields['job']
        return self._shown(team, DescribeJob(job=job, team=team.name))

    def cancel(self, call: Call) -> Answer:
        """Cancel a job once that is durable."""
        team = self._gate.team(call)
        job = call.fields['job']
        return self._shown(team, CancelJob(job=job, team=team.name))

    def list_batches(self, call: Call) -> Answer:
        """List the jobs of a team over all shards."""
        team = self._gate.team(call)
        jobs: list[JobView] = []
        for shard in range(self._shards.count):
            command = ListJobs(team=team.name)
            reply = done(self._shards.call(ShardId(shard), command))
            if isinstance(reply, JobList):
                jobs.extend(reply.jobs)
        jobs.sort(key=_accepted_at, reverse=True)
        return json_answer(
            {
                'object': 'list',
                'data': [_batch(job) for job in jobs],
                'has_more': False,
            }
        )

    def _shown(self, team: Team, command: DescribeJob | CancelJob) -> Answer:
        view = self._job(command.job, command)
        return json_answer(_batch(view, self._known_manifest(team, view)))

    def _known_manifest(self, team: Team, view: JobView) -> FileManifest | None:
        try:
            return self._files.manifest(team, view.input_file)
        except CallError:
            return None

    def _job(self, job: str, command: Command) -> JobView:
        shard = shard_of(job, self._shards.count)
        if shard is None:
            raise CallError(
                HTTPStatus.NOT_FOUND,
                'not_found',
                f'no batch {job}',
            )
        reply = done(self._shards.call(shard, command))
        if isinstance(reply, JobView):
            return reply
        if isinstance(reply, Refusal):
            raise _refused(reply)
        raise TypeError(f'unexpected reply {reply}')


def _refused(refusal: Refusal) -> CallError:
    status = _STATUS_OF.get(refusal.code, HTTPStatus.SERVICE_UNAVAILABLE)
    return CallError(
        status,
        refusal.code,
        refusal.message,
        retry_after=refusal.retry_after,
    )


def _window(text: str) -> float:
    unit = _WINDOWS.get(text[-1:])
    if unit is None or not text[:-1].isdigit():
        raise CallError(
            HTTPStatus.BAD_REQUEST,
            'invalid_window',
            f'{text!r} is not a number followed by h, m or s',
        )
    return int(text[:-1]) * unit


def _batch(
    view: JobView,
    manifest: FileManifest | None = None,
) -> dict[str, Any]:
    finished = view.phase is not JobPhase.in_progress
    completed = view.phase is JobPhase.completed
    return {
        'id': view.job,
        'object': 'batch',
        'endpoint': view.path,
        'input_file_id': view.input_file,
        'completion_window': f'{view.deadline - view.accepted_at:.0f}s',
        'status': view.phase.value,
        'output_file_id': output_file(view.job) if finished else None,
        'error_file_id': error_file(view.job) if finished else None,
        'created_at': int(view.accepted_at),
        'in_progress_at': int(view.accepted_at),
        'expires_at': int(view.deadline),
        'completed_at': int(view.finished_at) if completed else None,
        'cancelled_at': _cancelled_at(view),
        'request_counts': {
            'total': view.total,
            'completed': view.completed,
            'failed': view.failed,
        },
        'metadata': view.metadata,
        'errors': _errors(manifest),
    }


def _cancelled_at(view: JobView) -> int | None:
    if view.phase is JobPhase.cancelled:
        return int(view.finished_at)
    return None


def _errors(manifest: FileManifest | None) -> dict[str, Any] | None:
    if manifest is None or not manifest.errors:
        return None
    return {
        'object': 'list',
        'data': [
            {'code': one.code, 'message': one.message, 'line': one.line}
            for one in manifest.errors
        ],
    }


def _accepted_at(view: JobView) -> float:
    return view.accepted_at


def _wanted(body: bytes) -> _Created:
    try:
        return msgspec.json.decode(body, type=_Created)
    except DECODE_ERRORS as error:
        raise CallError(
            HTTPStatus.BAD_REQUEST,
            'invalid_body',
            str(error),
        ) from error

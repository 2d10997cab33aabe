"""Ports of tests and of the soak, which many runs take on one machine."""

import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import unittest
from types import SimpleNamespace
from unittest import mock

import gevent
from bendlead_testing.gateway_soak import deployment, disruptions
from bendlead_testing.gateway_soak.clients import Clients
from bendlead_testing.gateway_soak.deployment import Process
from bendlead_testing.gateway_soak.disruptions import EVERY_DISRUPTION
from bendlead_testing.gateway_soak.sightings import Sightings
from bendlead_testing.ports import Ports, free_port, lock_block
from gevent import monkey
from gevent.server import StreamServer
from parameterized import parameterized

from tests.gateway_standins import eventually

#: A run of the soak whose process has started another, which outlives both.
_RUN = """
import pathlib, sys, time
from bendlead_testing.gateway_soak.deployment import Process
from bendlead_testing.ports import Ports

ports = Ports()
port = ports.take()
command = ['sh', '-c', 'sleep 60 & echo $!; wait']
Process('shell', command, pathlib.Path(sys.argv[1]), ports).start()
print(port, flush=True)
time.sleep(60)
"""
_LOCK = """
import sys
from bendlead_testing.ports import lock_block

print(lock_block(int(sys.argv[1])))
"""
_OUTGOING = pathlib.Path('/proc/sys/net/ipv4/ip_local_port_range')


#: Time that a process takes from its fork to its program.
_BEGIN_SECONDS = 0.2


def _begin_slowly(_parent: int) -> None:
    monkey.get_original('time', 'sleep')(_BEGIN_SECONDS)


def _children() -> set[str]:
    own = os.getpid()
    path = pathlib.Path(f'/proc/{own}/task/{own}/children')
    return {child for child in path.read_text().split() if _is_running(child)}


def _is_running(process: str) -> bool:
    try:
        status = pathlib.Path(f'/proc/{process}/stat').read_text()
    except OSError:
        return False
    # A zombie only waits to be reaped.
    return not status.rpartition(')')[2].startswith(' Z')


class PortsTest(unittest.TestCase):
    """One process runs many seeds one after the other."""

    def test_no_outgoing_connection_takes_the_port(self):
        """One that was only probed was taken before its listener began."""
        first_outgoing = int(_OUTGOING.read_text().split()[0])
        self.assertLess(free_port(), first_outgoing)

    def test_ports_of_an_ended_run_are_free_again(self):
        first = Ports()
        taken = first.take()
        self.assertNotEqual(taken, Ports().take())
        first.free()
        last = Ports()
        self.addCleanup(last.free)
        # A lower one may have become free elsewhere meanwhile.
        self.assertLessEqual(last.take(), taken)

    def test_runs_with_different_temporary_folders(self):
        """Both took the same ports, and reached the other's processes."""
        own = Ports()
        self.addCleanup(own.free)
        port = own.take()
        with tempfile.TemporaryDirectory() as folder:
            other = subprocess.run(
                [sys.executable, '-c', _LOCK, str(port)],
                env={**os.environ, 'TMPDIR': folder},
                check=True,
                capture_output=True,
                text=True,
            )
        self.assertEqual('None', other.stdout.strip())

    def test_ports_of_a_killed_run_stay_taken_while_its_processes_run(self):
        """Otherwise they register with the object service of a later run."""
        with tempfile.NamedTemporaryFile() as log:
            run = subprocess.Popen(
                [sys.executable, '-c', _RUN, log.name],
                stdout=subprocess.PIPE,
                text=True,
            )
            port = int(run.stdout.readline())
            child = int(eventually(log.readline))
            run.kill()
            run.wait()
            run.stdout.close()
            self.assertIsNone(lock_block(port))
            os.kill(child, signal.SIGKILL)
            lock = eventually(lambda: lock_block(port))
            lock.close()

    def test_processes_of_a_killed_soak_end(self):
        """Otherwise they keep their ports and use processor time for ever."""
        soak = subprocess.Popen(
            [sys.executable, '-m', 'bendlead_testing.gateway_soak'],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        path = pathlib.Path(f'/proc/{soak.pid}/task/{soak.pid}/children')
        # The links, four engines, three entries and three owners.
        eventually(lambda: len(path.read_text().split()) == 11, 20)
        started = path.read_text().split()
        soak.kill()
        soak.wait()
        eventually(lambda: not any(map(_is_running, started)))

    def test_entries_of_an_ended_run_are_asked_no_more(self):
        """An engine of a later run may have the port by then.

        Seed 26003, as the fourth of one process, found this: its engine was
        asked whether it was ready by what was left of seed 26000.
        """
        asked = []
        listener = StreamServer(
            ('127.0.0.1', 0), lambda sock, _address: asked.append(sock)
        )
        listener.start()
        self.addCleanup(listener.stop)
        address = f'127.0.0.1:{listener.server_port}'
        spot = SimpleNamespace(name='entry-0', ready=address)
        fleet = SimpleNamespace(versions=1, entries=[spot])
        clients = Clients(fleet, Sightings(), random.Random(1))
        clients.start(online=0, batch=0)
        gevent.sleep(0.2)
        self.assertTrue(asked)
        clients.stop(0)
        asked.clear()
        gevent.sleep(2.5)
        self.assertEqual([], asked)


class FlapTest(unittest.TestCase):
    """An engine that ends and starts again in turns."""

    def setUp(self):
        self.ports = Ports()
        self.addCleanup(self.ports.free)
        # A port to pass on.
        self.ports.take()
        self.others = _children()

    def lives(self):
        """Return the processes that this test has started and not ended."""
        return _children() - self.others

    def end_lives(self):
        """End what a failed test has left."""
        for life in self.lives():
            os.kill(int(life), signal.SIGKILL)

    def test_end_while_a_life_is_started(self):
        """It ran on unnoticed and kept the engine's port."""
        log = pathlib.Path(os.devnull)
        process = Process('engine-0', ['sleep', '60'], log, self.ports)
        self.addCleanup(self.end_lives)
        self.addCleanup(process.end)
        process.start()
        spot = SimpleNamespace(name='engine-0', process=process)
        fleet = SimpleNamespace(nodes={}, engines=[spot])
        with (
            mock.patch.object(disruptions, '_FLAP_SECONDS', (0, 0)),
            mock.patch.object(deployment, 'end_with_parent', _begin_slowly),
        ):
            flap = EVERY_DISRUPTION['flap engine']
            heal = flap.begin(fleet, 'engine-0', random.Random(1))
            eventually(lambda: process.starts == 2)
            gevent.sleep(_BEGIN_SECONDS / 2)
            heal()
        gevent.sleep(2 * _BEGIN_SECONDS)
        self.assertEqual({str(process._popen.pid)}, self.lives())
        self.assertTrue(process.running)


class ProcessEndTest(unittest.TestCase):
    """Ends that nobody asked for are noted, and only these."""

    def process(self):
        """Return a process that has no ports to pass on."""
        return Process('entry-0', [], pathlib.Path(os.devnull), Ports())

    @parameterized.expand([('asked', True, []), ('by_itself', False, [3])])
    def test_end(self, _name, told, noted):
        process = self.process()
        process._popen = mock.Mock(poll=lambda: 3)
        process.told_to_end = told
        self.assertFalse(process.running)
        self.assertEqual(noted, process.unasked_ends)

    def test_stop_while_the_next_life_is_started(self):
        """It reached nobody, and the life that nobody had told was killed.

        Seed 1 at a load of 30: streams of an engine were lost.
        """
        process = self.process()
        process._popen = mock.Mock(poll=lambda: 0)
        process.told_to_end = True
        following = mock.Mock(poll=lambda: None)

        def start_slowly(*_command, **_options):
            gevent.sleep(0.05)
            return following

        fleet = SimpleNamespace(nodes={'entry-0': process})
        with mock.patch.object(deployment.subprocess, 'Popen', start_slowly):
            starting = gevent.spawn(process.start)
            gevent.sleep(0.01)
            stop = EVERY_DISRUPTION['stop']
            stop.begin(fleet, 'entry-0', random.Random(1))
            starting.join()
        following.send_signal.assert_called_once_with(signal.SIGTERM)
        self.assertTrue(process.told_to_end)

    def test_next_life_started_while_the_end_is_polled(self):
        process = self.process()
        process.told_to_end = True
        following = mock.Mock(poll=lambda: None)

        def poll():
            process.told_to_end = False
            process._popen = following
            return 0

        process._popen = mock.Mock(poll=poll)
        self.assertTrue(process.running)
        self.assertEqual([], process.unasked_ends)
        self.assertIs(following, process._popen)


if __name__ == '__main__':
    unittest.main()

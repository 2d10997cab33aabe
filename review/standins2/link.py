"""A link between the system and one engine that can be cut silently."""

import asyncio


class Link:
    """TCP proxy that carries bytes, or holds all of them up while it is cut."""

    def __init__(self, address, target):
        self.address = address
        self._target = target
        self._open = asyncio.Event()
        self._open.set()
        self._server = None
        self._tasks = set()

    async def start(self):
        """Listen from now on."""
        host, port = self.address.rsplit(':', 1)
        self._server = await asyncio.start_server(
            self._carry, host, int(port), backlog=512
        )

    def cut(self):
        """Hold up all bytes, ends of connections too."""
        self._open.clear()

    def heal(self):
        """Carry what was held up, and what follows."""
        self._open.set()

    async def stop(self):
        """End all connections and stop listening."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)

    async def _carry(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._open.wait()
            host, port = self._target.rsplit(':', 1)
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            # The engine is down: its machine resets.
            writer.transport.abort()
            self._tasks.discard(task)
            return
        except asyncio.CancelledError:
            writer.close()
            return
        try:
            await asyncio.gather(
                self._pump(reader, far_writer), self._pump(far_reader, writer)
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()
            far_writer.close()

    async def _pump(self, reader, writer):
        try:
            while part := await reader.read(65_536):
                await self._open.wait()
                writer.write(part)
                await writer.drain()
            await self._open.wait()
            if writer.can_write_eof():
                writer.write_eof()
        except ConnectionError:
            await self._open.wait()
            writer.transport.abort()

from __future__ import annotations

import asyncio

from balsamhead.util.loop import make_event_loop


class Echo(asyncio.Protocol):
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.peer = transport.get_extra_info("peername")

    def data_received(self, data: bytes) -> None:
        assert isinstance(self.transport, asyncio.Transport)
        self.transport.write(f"{self.peer[1]} ".encode() + data)
        self.transport.close()


async def send_request(port: int) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    own = writer.get_extra_info("sockname")[1]
    writer.write(b"hello")
    response = await reader.read()
    writer.close()
    return response.replace(str(own).encode(), b"own")


def test_all_concurrent_connections_are_accepted() -> None:
    async def main() -> list[bytes]:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(Echo, "127.0.0.1", 0, backlog=200)
        port = server.sockets[0].getsockname()[1]
        responses = await asyncio.gather(*(send_request(port) for _ in range(150)))
        server.close()
        await server.wait_closed()
        return list(responses)

    with asyncio.Runner(loop_factory=make_event_loop) as runner:
        assert runner.run(main()) == [b"own hello"] * 150


def test_callbacks_that_reschedule_themselves_do_not_starve_io() -> None:
    async def main() -> bytes:
        loop = asyncio.get_running_loop()
        is_running = True

        def reschedule() -> None:
            if is_running:
                loop.call_soon(reschedule)

        server = await loop.create_server(Echo, "127.0.0.1", 0)
        reschedule()
        response = await send_request(server.sockets[0].getsockname()[1])
        is_running = False
        server.close()
        return response

    with asyncio.Runner(loop_factory=make_event_loop) as runner:
        assert runner.run(main()) == b"own hello"

from __future__ import annotations

import json
import logging
import os

from balsamhead.util.logs import BoundedHandler


def make_logger(handler: logging.Handler) -> logging.Logger:
    logger = logging.Logger("test")
    logger.addHandler(handler)
    return logger


def read_all(fd: int) -> bytes:
    os.set_blocking(fd, False)
    chunks: list[bytes] = []
    while True:
        try:
            chunk = os.read(fd, 1 << 16)
        except BlockingIOError:
            return b"".join(chunks)
        if not chunk:
            return b"".join(chunks)
        chunks.append(chunk)


def test_slow_reader_does_not_block_the_writer_and_dropped_lines_are_counted() -> None:
    reader, writer = os.pipe()
    try:
        handler = BoundedHandler(writer, max_bytes=10_000)
        logger = make_logger(handler)
        for number in range(5000):
            logger.info("line %d %s", number, "x" * 50)
        assert handler.dropped > 0
        kept = read_all(reader).splitlines()
        logger.info("after")
        kept += read_all(reader).splitlines()
        logger.info("later")
        kept += read_all(reader).splitlines()
        drop_reports = [json.loads(line) for line in kept if b"lines-dropped" in line]
        assert [row["lines"] for row in drop_reports] == [handler.dropped]
        log_lines = [line for line in kept if line.startswith(b"line ")]
        assert len(log_lines) + handler.dropped == 5000
        assert all(line.endswith(b"x" * 50) for line in log_lines)
    finally:
        os.close(reader)
        os.close(writer)


def test_lines_are_dropped_after_the_reader_has_closed() -> None:
    reader, writer = os.pipe()
    handler = BoundedHandler(writer)
    os.close(reader)
    try:
        logger = make_logger(handler)
        logger.info("nobody reads this")
        assert handler.dropped == 1
    finally:
        os.close(writer)

"""Positions in a log whose store may be restored from an older copy of itself.

Offsets go back with each restoration and are given out again. A position is one number that orders
the records of all eras: the era, then whether its holder has carried state over from an earlier
era, then the offset.
"""

from __future__ import annotations

from typing import Final

__all__ = ("get_era", "get_generation", "get_offset", "make_position")

_OFFSET_BITS: Final = 32
_OFFSET_MASK: Final = (1 << _OFFSET_BITS) - 1


def make_position(era: int, offset: int, *, carried: bool = False) -> int:
    """Return the position of an offset in an era of the store.

    :param carried: the holder's state includes records that a restoration has lost; it goes before
        a state that was read from the store alone.
    """
    return (era << 1 | carried) << _OFFSET_BITS | offset


def get_generation(position: int) -> int:
    """Return the part of a position before the offset; it increases with each restoration."""
    return position >> _OFFSET_BITS


def get_era(position: int) -> int:
    """Return the era of a position; -1 for a negative position, which stands for none."""
    return get_generation(position) >> 1


def get_offset(position: int) -> int:
    """Return the offset of a position within its era."""
    return position & _OFFSET_MASK

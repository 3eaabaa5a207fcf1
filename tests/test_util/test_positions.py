from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from balsamhead.util.positions import get_era, get_generation, get_offset, make_position

ERAS = st.integers(0, 1000)
OFFSETS = st.integers(0, 2**32 - 1)


@given(era=ERAS, offset=OFFSETS, carried=st.booleans())
def test_position_holds_its_era_and_offset(era: int, offset: int, carried: bool) -> None:
    position = make_position(era, offset, carried=carried)
    assert (get_era(position), get_offset(position)) == (era, offset)


@given(era=ERAS, offset=OFFSETS, later=st.integers(1, 9), lower=OFFSETS, carried=st.booleans())
def test_later_era_goes_before_any_offset(
    era: int, offset: int, later: int, lower: int, carried: bool
) -> None:
    earlier = make_position(era, offset, carried=carried)
    restored = make_position(era + later, lower)
    assert restored > earlier
    assert get_generation(restored) > get_generation(earlier)
    assert make_position(era, 0, carried=True) > make_position(era, offset)


def test_absent_position_precedes_every_era() -> None:
    assert get_era(-1) == -1
    assert make_position(0, 0) > -1

"""Work for one peer's bytes, other than clients' requests, lets the event loop serve the others."""

import struct

import pytest

from mothnotch.node import frames


@pytest.mark.parametrize("expected", [0, 1, 3])
def test_frames_beyond_those_that_a_leaf_may_send_are_not_read(expected):
    """Guards against a leaf that sends thousands of short frames, all read in one go."""
    frame = struct.pack("<I", 1) + b"o"
    received, error = frames.FrameReader().feed(frame * 6553, max_frames=expected)
    assert isinstance(error, frames.FrameError)
    assert len(received) == max(1, expected)

"""The learned speeds in reports: a host's new samples, encoded in two bytes for each target.

The first byte is the logarithm of the ratio to the usual time. The second one has the running
number of the sample, from which receivers tell new samples from repeated ones, and the load that it
found. Number 0 marks what a host has learned so far, which it sends to hosts that have started.
"""

from itertools import islice

__all__ = ["LEARNED", "SpeedReports", "decode_log", "encode_log"]

LOG_STEPS = 32  # Steps of an encoded logarithm for each e-fold: 3 % each, up to a factor of 50.
LOG_ZERO = 128
MAX_NUMBER = 15  # Numbers of samples run from 1 to this.
LEARNED = 0  # In place of a number, marks what a host has learned so far.
MAX_NEW_SAMPLES = 10  # A higher difference of numbers is an older report that arrived late.
LOADS_PER_SLOT = 4  # Loads are encoded in quarters of the slots, up to 15.
MAX_LOAD = 15
# New entries in a report. With 24 peers, 8 entries of 6 bytes ten times a second are 11 KB/s.
MAX_REPORTED = 4


def encode_log(log: float) -> int:
    """Return a logarithm as one byte.

    >>> encode_log(0.0), decode_log(encode_log(1.61))
    (128, 1.625)
    """
    return max(0, min(255, LOG_ZERO + round(LOG_STEPS * log)))


def decode_log(code: int) -> float:
    """Return the logarithm that a byte stands for."""
    return (code - LOG_ZERO) / LOG_STEPS


def encode_load(number: int, load: float) -> int:
    """Return the number of a sample and the requests for each slot that it found as one byte."""
    return number * (MAX_LOAD + 1) + min(MAX_LOAD, max(1, round(LOADS_PER_SLOT * load)))


class Batch:
    """Samples of a target that have not been reported yet.

    Attributes:
        count: The number of samples.
        log_sum: The sum of the samples.
        load_sum: The sum of the requests in progress for each slot that they found.
    """

    __slots__ = ("count", "load_sum", "log_sum")

    def __init__(self) -> None:
        self.count = 0
        self.log_sum = 0.0
        self.load_sum = 0.0


class SpeedReports:
    """The samples that this host has to report, and the numbers of those that it has received.

    Attributes:
        pending: Samples to report, by route token.
        numbers: The number of the last reported sample of each target, by route token.
        reported: The entries of the latest report, by route token; repeated in the next one.
        peer_numbers: The numbers of the last samples that each peer reported, by the boot id of its
            process and by route token.
    """

    __slots__ = ("numbers", "peer_numbers", "pending", "reported")

    def __init__(self) -> None:
        self.pending: dict[int, Batch] = {}
        self.numbers: dict[int, int] = {}
        self.reported: dict[int, tuple[int, int]] = {}
        self.peer_numbers: dict[int, dict[int, int]] = {}

    def add(self, token: int, sample: float, load: float) -> None:
        """Add a sample to the next reports."""
        batch = self.pending.get(token)
        if batch is None:
            batch = self.pending[token] = Batch()
        batch.count += 1
        batch.log_sum += sample
        batch.load_sum += load

    def entries(self) -> list[tuple[int, int, int]]:
        """Return the entries of the next report: new samples, and those of the report before.

        At most `MAX_REPORTED` targets have new samples; those of others follow in later reports.
        """
        fresh: dict[int, tuple[int, int]] = {}
        for token in list(islice(self.pending, MAX_REPORTED)):
            batch = self.pending.pop(token)
            step = min(batch.count, MAX_NEW_SAMPLES)
            number = (self.numbers.get(token, 0) + step - 1) % MAX_NUMBER + 1
            self.numbers[token] = number
            mean, load = batch.log_sum / batch.count, batch.load_sum / batch.count
            fresh[token] = encode_log(mean), encode_load(number, load)
        entries = self.reported | fresh
        self.reported = fresh
        return [(token, speed, knee) for token, (speed, knee) in entries.items()]

    def read_entry(self, boot_id: int, token: int, knee: int) -> tuple[int, float]:
        """Read the second byte of a peer's entry.

        Args:
            boot_id: The number that identifies the peer's process.
            token: The route token.
            knee: The byte.

        Returns:
            How many samples the entry adds, `LEARNED` if it is what the peer has learned so far or
            -1 if it is repeated; and the requests for each slot.
        """
        number, load = divmod(knee, MAX_LOAD + 1)
        if not number:
            return LEARNED, load / LOADS_PER_SLOT
        numbers = self.peer_numbers.setdefault(boot_id, {})
        known = numbers.get(token)
        count = 1 if known is None else (number - known) % MAX_NUMBER
        if not 0 < count <= MAX_NEW_SAMPLES:
            return -1, 0.0
        numbers[token] = number
        return count, load / LOADS_PER_SLOT

    def forget_peer(self, boot_id: int) -> None:
        """Remove the numbers of a peer's process that has ended."""
        self.peer_numbers.pop(boot_id, None)

    def forget_targets(self, tokens: set[int]) -> None:
        """Remove the state of all targets but those with the given route tokens."""
        for by_token in (self.pending, self.numbers, self.reported, *self.peer_numbers.values()):
            for token in by_token.keys() - tokens:
                del by_token[token]

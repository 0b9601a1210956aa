"""Stores learned data on disk: snapshot files, called generations, to which changes are appended.

A new generation is written next to the current one, a slice at a time, and becomes valid with its seal, a
single append; until then a start uses the one before. Changes meanwhile are written to both. The previous
generation is kept until the next one is sealed, in case the newest is invalid.
"""

from __future__ import annotations

import errno
from collections.abc import Callable, Iterator, Mapping
from itertools import islice

from amberlug.core.journal.disk import Disk
from amberlug.core.journal.sync_scheduler import Syncer
from amberlug.core.log import log
from amberlug.learning import blocks
from amberlug.learning.blocks import BlockType, Generation, InvalidGenerationError, Records, Timestamp

SLICE_US = 1_000  # time limit of one slice of writing a new generation
RECORDS_PER_BLOCK = 16  # records per block of a new generation: some 0.1 ms of work
# A generation is replaced when its size exceeds FACTOR times the bytes of all records, plus MIN_BYTES.
COMPACTION_FACTOR, COMPACTION_MIN_BYTES = 4, 1 << 15
RETRY_US = 10_000_000  # from a failed write until the next attempt
BLOCK_SIZE = 512  # file sizes are rounded up to whole blocks
PROTECTED_PREFIX = b"W"  # key prefix of records that are required for correctness, and never evicted


class GenerationFile:
    """A generation that is being written."""

    def __init__(self, number: int, digest: bytes, size: int) -> None:
        self.number, self.digest, self.size = number, digest, size
        self.name = blocks.file_name(number)


class Store:
    """The newest generation, all records by key, and changes not yet written.

    Raises only if the directory can't be read: a failing write is logged once, and retried.
    """

    def __init__(
        self,
        disk: Disk,
        max_bytes: int,
        clock_us: Callable[[], int],
        key: bytes = b"",
        syncer: Syncer | None = None,
    ) -> None:
        self._disk, self._max_bytes, self._clock_us = disk, max_bytes, clock_us
        self._key, self._syncer = key, syncer
        self.records: dict[bytes, bytes] = {}  # least recently written first
        self.stamp = Timestamp(0, 0, "")
        self.rejected: list[str] = []
        self.had_generation = False  # whether the directory had any generation, valid or not
        self._record_bytes = 0  # bytes of all records
        self._pending: dict[bytes, bytes] = {}  # not yet written
        self._current: GenerationFile | None = None
        self._next: GenerationFile | None = None  # not yet sealed
        self._unwritten_keys: Iterator[bytes] | None = None  # keys not yet written to the next generation
        self._syncing = self._failed = self._closed = False
        self._resume_us = 0  # no writes before this time
        self._files: dict[int, int] = {}  # sizes of all generations on disk, by number
        self._read()

    @property
    def max_record_bytes(self) -> int:
        """Limit on the bytes of records, so that two generations and later changes fit on the disk."""
        return self._max_bytes // 4

    def _read(self) -> None:
        files = {blocks.generation_number(name): size for name, size in self._disk.files().items()}
        self._files = {number: size for number, size in files.items() if number is not None}
        self.had_generation = bool(self._files)
        for number in sorted(self._files, reverse=True):
            try:
                self._use_generation(self._load_generation(number))
            except (InvalidGenerationError, OSError) as error:
                self.rejected.append(f"generation {number} rejected: {error}")
                log(f"learning: {self.rejected[-1]}")
                continue
            break

    def _load_generation(self, number: int) -> Generation:
        size = self._files[number]
        if size > self._max_bytes:
            raise InvalidGenerationError(f"its size of {size} bytes exceeds the limit of {self._max_bytes}")
        return blocks.read_generation(self._disk.read(blocks.file_name(number), 0, size), number, self._key)

    def _use_generation(self, generation: Generation) -> None:
        self.records, self.stamp = generation.records, generation.stamp
        self._record_bytes = sum(len(key) + len(value) for key, value in self.records.items())
        newest, size = max(self._files), self._files[generation.number]
        if generation.number != newest:
            return  # a new one is written immediately, with a number above the rejected ones
        try:
            if generation.valid_bytes < size:  # nothing may be appended after a truncated block
                self._disk.truncate(blocks.file_name(generation.number), generation.valid_bytes)
        except OSError as error:
            log(f"learning: {error}")
            return
        self._files[generation.number] = generation.valid_bytes
        self._current = GenerationFile(generation.number, generation.digest, generation.valid_bytes)

    def replace_records(self, stamp: Timestamp, records: Mapping[bytes, bytes]) -> None:
        """Replace all records, converted to the clock of this boot, and start a new generation for them."""
        self.stamp, self.records, self._current = stamp, dict(records), None
        self._record_bytes = sum(len(key) + len(value) for key, value in self.records.items())

    def ensure_writable(self) -> None:
        """Create a writable generation if there is none, as far as the disk allows."""
        while self._current is None and self.work() == SLICE_US:
            pass

    def put(self, records: Records, stamp: Timestamp) -> None:
        """Write records now; those that can't be are written later, with their values at that time."""
        for key, value in records:
            had = self.records.pop(key, None)
            self._record_bytes -= len(key) + len(had) if had is not None else 0
            if value:
                self.records[key] = value
                self._record_bytes += len(key) + len(value)
            elif had is None:
                continue
            self._pending[key] = value
        self.stamp = stamp
        self._flush()

    def _flush(self) -> None:
        if not self._pending or self._clock_us() < self._resume_us or self._closed or self._current is None:
            return
        payload = blocks.pack_records(list(self._pending.items()), self.stamp)
        try:
            for file in (self._current, self._next):
                if file is not None:
                    self._append(file, BlockType.RECORDS, payload)
        except OSError as error:
            self._fail(error)
            return
        self._pending.clear()
        if self._failed:
            self._failed = False
            log("learning: writes succeed again")

    def _fail(self, error: OSError) -> None:
        if not self._failed:
            log(f"learning: write failed: {error}; retrying until it succeeds")
        self._failed = True
        self._resume_us = self._clock_us() + RETRY_US
        self._discard_next()

    def _discard_next(self) -> None:
        """Discard a new generation that is not yet sealed."""
        if self._next is not None:
            self._remove(self._next.number)
            self._next = self._unwritten_keys = None

    def free_disk_space(self) -> None:
        """Free disk space for the journal: pause writes, and remove all but the current generation."""
        self._resume_us = self._clock_us() + RETRY_US
        self._discard_next()
        if self._current is not None:
            self._remove_all_but(self._current.number)

    def _append(self, file: GenerationFile, kind: BlockType, payload: bytes) -> None:
        """Append one block, completely or not at all; raises `OSError` if that fails."""
        data, digest = blocks.encode_block(kind, payload, file.digest, self._key)
        if self._disk_usage(len(data)) > self._max_bytes:
            raise OSError(errno.ENOSPC, "disk limit for learned data reached")
        written = 0
        try:
            while written < len(data):
                count = self._disk.append(file.name, data[written:])
                if count == 0:
                    raise OSError(errno.ENOSPC, "write returned 0 bytes")
                written += count
        except OSError:
            if written:
                self._truncate(file)
            raise
        file.size, file.digest = file.size + len(data), digest
        self._files[file.number] = file.size

    def _truncate(self, file: GenerationFile) -> None:
        try:
            self._disk.truncate(file.name, file.size)
        except OSError:
            if file is self._current:
                self._current = (
                    None  # it ends in a truncated block that can't be removed: a new generation is written
                )

    def _disk_usage(self, more: int = 0) -> int:
        return more + sum(-(-size // BLOCK_SIZE) * BLOCK_SIZE for size in self._files.values())

    # New generations.

    def work(self) -> int | None:
        """Do a slice of pending work; returns the microseconds until the next call, or None."""
        now_us = self._clock_us()
        if self._closed or self._syncing:
            return None
        if now_us < self._resume_us:
            return self._resume_us - now_us
        self._flush()
        try:
            if self._next is None:
                if not self._needs_new_generation():
                    return None
                self._begin_generation()
            return self._write_slice(now_us + SLICE_US)
        except OSError as error:
            self._fail(error)
            return RETRY_US

    def _needs_new_generation(self) -> bool:
        if self._current is None:
            return True
        most = min(COMPACTION_FACTOR * self._record_bytes + COMPACTION_MIN_BYTES, self._max_bytes // 3)
        return self._current.size > most or self._record_bytes > self.max_record_bytes

    def _begin_generation(self) -> None:
        """Create a new generation; if space is short, older ones than the current are removed first."""
        # Evicts the least recently updated records, but no requested wait.
        if self._record_bytes > self.max_record_bytes:
            for key in [key for key in self.records if key[:1] != PROTECTED_PREFIX]:
                self._record_bytes -= len(key) + len(self.records.pop(key))
                if self._record_bytes <= self.max_record_bytes:
                    break
        if self._disk_usage(2 * self._record_bytes + COMPACTION_MIN_BYTES) > self._max_bytes:
            kept_number = max(self._files, default=0) if self._current is None else self._current.number
            self._remove_all_but(kept_number)
        number = max(self._files, default=0) + 1
        file = GenerationFile(number, blocks.file_header(), 0)
        self._disk.create(file.name)
        self._files[number] = 0
        self._next, self._unwritten_keys = file, iter(list(self.records))
        if self._disk.append(file.name, blocks.file_header()) < blocks.FILE_HEADER_SIZE:
            raise OSError(errno.ENOSPC, "disk limit for learned data reached")
        file.size = blocks.FILE_HEADER_SIZE
        self._append(file, BlockType.IDENTITY, blocks.pack_identity(number, self.stamp))

    def _write_slice(self, until_us: int) -> int | None:
        assert self._next is not None
        assert self._unwritten_keys is not None
        while True:
            keys = list(islice(self._unwritten_keys, RECORDS_PER_BLOCK))
            if not keys:
                break
            batch = [(key, self.records[key]) for key in keys if key in self.records]
            self._append(self._next, BlockType.RECORDS, blocks.pack_records(batch, self.stamp))
            if self._clock_us() >= until_us:
                return SLICE_US
        self._sync(self._seal)
        return None

    def _sync(self, then: Callable[[], None]) -> None:
        """Sync the new generation if durability requires it, then call `then`."""
        # The first generation of a process is not synced: nothing can be stored without it, and the previous
        # one is kept.
        assert self._next is not None
        if self._syncer is None or self._current is None:
            then()
            return
        file = self._next

        def done(error: OSError | None) -> None:
            """Continue after the sync, or handle its error; ignored if the generation has been replaced."""
            self._syncing = False
            if self._closed or file is not self._next:
                return
            try:
                if error is not None:
                    raise error
                then()
            except OSError as failed:
                self._fail(failed)

        self._syncing = True
        self._syncer.start(self._disk.syncs([file.name], True), done)

    def _seal(self) -> None:
        assert self._next is not None
        self._append(self._next, BlockType.SEAL, b"")
        self._sync(self._activate_next)

    def _activate_next(self) -> None:
        assert self._next is not None
        file = self._next
        before = max((number for number in self._files if number < file.number), default=0)
        self._current, self._next, self._unwritten_keys = file, None, None
        for number in [number for number in self._files if number < before]:
            self._remove(number)
        self._flush()

    def _remove_all_but(self, kept_number: int) -> None:
        for number in [number for number in self._files if number != kept_number]:
            self._remove(number)

    def _remove(self, number: int) -> None:
        try:
            self._disk.remove(blocks.file_name(number))
        except FileNotFoundError:
            pass
        except OSError as error:
            log(f"learning: {error}")
            return
        self._files.pop(number, None)

    def close(self) -> None:
        """Write pending records and close all files."""
        self._resume_us = 0
        self._flush()
        self._closed = True
        if self._syncer is not None:
            self._syncer.close()
        self._disk.close()

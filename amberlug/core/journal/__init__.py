"""The durable log: segments of records, compacted in slices while traffic flows."""

from amberlug.core.journal.disk import Disk, FolderDisk
from amberlug.core.journal.log import Journal

__all__ = ["Disk", "FolderDisk", "Journal"]

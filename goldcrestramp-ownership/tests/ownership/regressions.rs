//! Runs of faults that once failed; they stay as they were found.

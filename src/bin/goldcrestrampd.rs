//! The daemon on an entry VM.

fn main() {}

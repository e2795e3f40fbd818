//! The command of operators.

fn main() {}

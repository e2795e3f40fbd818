//! Each safeguard taken out makes a test fail.

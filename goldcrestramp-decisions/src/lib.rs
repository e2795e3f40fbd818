//! Pure decisions under load: admission, fairness, retries, placement.

//! Actors and sockets that bind the pure parts into a daemon.

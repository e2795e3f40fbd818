//! The size of a socket's receive buffer.

use std::{ffi::c_int, io, os::fd::AsRawFd};

const SOL_SOCKET: c_int = 1;
const SO_RCVBUF: c_int = 8;

unsafe extern "C" {
    fn setsockopt(
        socket: c_int,
        level: c_int,
        name: c_int,
        value: *const c_int,
        length: u32,
    ) -> c_int;
}

/// Sets the receive buffer of a socket, which accepted ones inherit.
pub fn set_receive_buffer(
    socket: &impl AsRawFd,
    bytes: usize,
) -> io::Result<()> {
    let value = c_int::try_from(bytes).unwrap_or(c_int::MAX);
    // SAFETY: `value` is a valid `int` of the stated length for the call.
    let status = unsafe {
        setsockopt(
            socket.as_raw_fd(),
            SOL_SOCKET,
            SO_RCVBUF,
            &raw const value,
            size_of::<c_int>() as u32,
        )
    };
    if status == 0 { Ok(()) } else { Err(io::Error::last_os_error()) }
}

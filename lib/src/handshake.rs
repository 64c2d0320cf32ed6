//! How long the handshake of an accepted TCP connection took.

use std::mem::{MaybeUninit, offset_of, size_of};
use std::net::TcpStream;
use std::os::fd::AsRawFd as _;
use std::time::Duration;

/// Length of the part of `tcp_info` up to the last field that is read.
const READ_LENGTH: usize = offset_of!(libc::tcp_info, tcpi_total_retrans) + size_of::<u32>();

/// Time between this side's answer to the opening packet and the other side's confirmation, on a
/// connection that was just accepted. The confirmation may arrive together with the first request, which
/// was sent as early as this side's answer. `None` if the answer was sent more than once, or if the system
/// does not tell.
pub fn handshake_time(connection: &TcpStream) -> Option<Duration> {
    let mut info = MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the system writes at most `length` bytes to `info`, which has that size.
    let status = unsafe {
        libc::getsockopt(
            connection.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info.as_mut_ptr().cast(),
            &mut length,
        )
    };
    if status != 0 || (length as usize) < READ_LENGTH {
        return None;
    }
    // SAFETY: all fields are integers, for which zero is a valid value.
    let info = unsafe { info.assume_init() };
    let is_measured = info.tcpi_total_retrans == 0 && info.tcpi_rtt > 0;
    is_measured.then(|| Duration::from_micros(info.tcpi_rtt.into()))
}

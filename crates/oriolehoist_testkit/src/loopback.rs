use {
    crate::lock::lock,
    std::{
        io,
        net::{Ipv4Addr, SocketAddr, TcpListener},
        sync::Mutex,
    },
};

/// The second octets of the loopback ranges.
const SECOND_OCTETS: std::ops::Range<u8> = 16..216;
/// The port whose listener shows that a range is in use.
const RESERVATION_PORT: u16 = 6999;

/// The listeners that reserve the ranges of this process.
static RESERVATIONS: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());

/// Reserves 254 loopback addresses that no other test of any process uses, until this process ends.
/// Returns their second and third octet.
///
/// # Errors
///
/// Returns an error if no range is free.
pub(crate) fn reserve_range() -> io::Result<[u8; 2]> {
    let mut reservations = lock(&RESERVATIONS);
    let count = SECOND_OCTETS.len() as u32 * 256;
    // Processes start at different ranges, so that they rarely try the same ones.
    let first = std::process::id().wrapping_mul(256);
    for offset in 0..count {
        let index = first.wrapping_add(offset) % count;
        let octets = [SECOND_OCTETS.start + (index / 256) as u8, (index % 256) as u8];
        let address = Ipv4Addr::new(127, octets[0], octets[1], 1);
        match TcpListener::bind(SocketAddr::from((address, RESERVATION_PORT))) {
            Ok(listener) => {
                reservations.push(listener);
                return Ok(octets);
            }
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
            Err(error) => return Err(error),
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

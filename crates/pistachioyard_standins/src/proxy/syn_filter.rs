//! Drops packets that open connections from given sources, so that their attempts hang.

use std::io;
use std::net::Ipv4Addr;

use socket2::{SockFilter, SockRef};
use tokio::net::TcpListener;

/// Loads the four bytes at an offset of the packet.
const LOAD_WORD: u16 = 0x20;
/// Combines the loaded value with a mask.
const AND: u16 = 0x54;
/// Skips instructions depending on whether the loaded value is equal to a constant.
const JUMP_IF_EQUAL: u16 = 0x15;
/// Ends the program with the number of bytes to keep of the packet.
const RETURN: u16 = 0x06;
/// The offset of the source address: `SKF_NET_OFF`, and its place in the header of IPv4.
const SOURCE_ADDRESS: u32 = 0xfff0_0000 + 12;
/// Keeps the whole packet.
const KEEP: u32 = u32::MAX;
/// Drops the packet.
const DROP: u32 = 0;

/// Makes a listening socket drop packets from sources that begin with any of these octets.
///
/// # Errors
///
/// Fails when the system rejects the filter.
pub(super) fn set(listener: &TcpListener, sources: &[Vec<u8>]) -> io::Result<()> {
    let mut program = Vec::with_capacity(4 * sources.len() + 1);
    for source in sources {
        let (address, mask) = address_and_mask(source);
        program.push(SockFilter::new(LOAD_WORD, 0, 0, SOURCE_ADDRESS));
        program.push(SockFilter::new(AND, 0, 0, mask));
        program.push(SockFilter::new(JUMP_IF_EQUAL, 0, 1, address));
        program.push(SockFilter::new(RETURN, 0, 0, DROP));
    }
    program.push(SockFilter::new(RETURN, 0, 0, KEEP));
    SockRef::from(listener).attach_filter(&program)
}

fn address_and_mask(octets: &[u8]) -> (u32, u32) {
    let mut address = [0; 4];
    let mut mask = [0; 4];
    for (index, octet) in octets.iter().take(4).enumerate() {
        address[index] = *octet;
        mask[index] = u8::MAX;
    }
    (
        Ipv4Addr::from(address).to_bits(),
        Ipv4Addr::from(mask).to_bits(),
    )
}

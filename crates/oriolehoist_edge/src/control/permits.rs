//! Datagrams about permits to send requests.

use {
    crate::{
        process::Shared,
        version::View,
        wire::{PermitAnswer, PermitQuery, encode_compact},
    },
    std::net::SocketAddr,
    tokio::net::UdpSocket,
};

/// Handles an answer, which counts only if this daemon has asked its sender. Returns false, and does nothing, if
/// the message is none.
pub(super) fn receive_permit_answer(cx: &Shared, from: SocketAddr, message: &[u8]) -> bool {
    let Some(PermitAnswer { number, reply, .. }) = PermitAnswer::decode(message) else {
        return false;
    };
    cx.permits.on_answer(from.ip(), number, reply);
    true
}

/// Handles a query. Returns false, and does nothing, if the message is none.
pub(super) fn receive_permit_query(
    cx: &Shared,
    view: &View,
    socket: &UdpSocket,
    from: SocketAddr,
    message: &[u8],
) -> bool {
    let Some(query) = PermitQuery::decode(message) else { return false };
    let reply = cx.issue_permit(view, from.ip(), &query);
    let answer = PermitAnswer { format: PermitAnswer::FORMAT.into(), number: query.number, reply };
    if let Ok(bytes) = encode_compact(&answer) {
        // If it is lost, the query is repeated.
        let _ = socket.try_send_to(&bytes, from);
    }
    true
}

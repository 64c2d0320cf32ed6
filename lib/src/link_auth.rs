//! Mutual authentication of a new connection with the fleet secret, before any frame.
//!
//! The accepting side sends a nonce. The dialling side answers with a keyed hash of it and its own
//! nonce, and receives a keyed hash of that. The handshake does not reveal the secret to listeners,
//! but the link is not encrypted; docs/PROTOCOL.md lists the remaining risks.

use futures_util::{Sink, SinkExt as _, Stream, StreamExt as _};
use rand::Rng as _;
use snafu::{OptionExt as _, ResultExt as _, Snafu, ensure};
use tokio_tungstenite::tungstenite::{Error as WsError, Message};

use crate::permit::FleetSecret;

const NONCE_LEN: usize = 16;
const SEAL_LEN: usize = 32;
const DIAL_PURPOSE: &str = "dial";
const ACCEPT_PURPOSE: &str = "accept";

/// Why the authentication of a connection failed.
#[derive(Debug, Snafu)]
pub enum AuthError {
    /// The connection failed.
    #[snafu(display("connection failed during the handshake: {source}"))]
    Broken {
        /// Error of the WebSocket.
        #[snafu(source(from(WsError, Box::new)))]
        source: Box<WsError>,
    },
    /// The other side closed the connection.
    #[snafu(display("connection closed during the handshake"))]
    Ended,
    /// The other side did not prove that it knows the secret.
    #[snafu(display("the other side does not know the fleet secret"))]
    WrongSecret,
}

/// The operations on a WebSocket that the handshake needs.
pub trait Socket:
    Sink<Message, Error = WsError> + Stream<Item = Result<Message, WsError>> + Unpin
{
}

impl<S> Socket for S where
    S: Sink<Message, Error = WsError> + Stream<Item = Result<Message, WsError>> + Unpin
{
}

fn nonce() -> [u8; NONCE_LEN] {
    rand::rng().random()
}

/// Authenticates the other side of an accepted connection, and this side to it.
pub async fn accept(socket: &mut impl Socket, secret: &FleetSecret) -> Result<(), AuthError> {
    let ours = nonce();
    send(socket, ours.to_vec()).await?;
    let reply = receive(socket).await?;
    ensure!(reply.len() == SEAL_LEN + NONCE_LEN, WrongSecretSnafu);
    let (seal, theirs) = reply.split_at(SEAL_LEN);
    ensure!(secret.verify(DIAL_PURPOSE, &ours, seal), WrongSecretSnafu);
    send(socket, secret.seal(ACCEPT_PURPOSE, theirs).to_vec()).await
}

/// Authenticates this side of a dialled connection, and the other side to it.
pub async fn dial(socket: &mut impl Socket, secret: &FleetSecret) -> Result<(), AuthError> {
    let theirs = receive(socket).await?;
    let ours = nonce();
    let mut reply = secret.seal(DIAL_PURPOSE, &theirs).to_vec();
    reply.extend_from_slice(&ours);
    send(socket, reply).await?;
    let seal = receive(socket).await?;
    ensure!(
        seal.len() == SEAL_LEN && secret.verify(ACCEPT_PURPOSE, &ours, &seal),
        WrongSecretSnafu
    );
    Ok(())
}

async fn send(socket: &mut impl Socket, bytes: Vec<u8>) -> Result<(), AuthError> {
    let message = Message::Binary(bytes.into());
    socket.send(message).await.context(BrokenSnafu)
}

async fn receive(socket: &mut impl Socket) -> Result<Vec<u8>, AuthError> {
    let message = socket.next().await.context(EndedSnafu)?;
    match message.context(BrokenSnafu)? {
        Message::Binary(bytes) => Ok(bytes.to_vec()),
        _ => WrongSecretSnafu.fail(),
    }
}

use {
    super::{
        ExchangeAnswer, ExchangeOpen, ExchangePush, ExchangeReply, MembershipActor,
        actor_message::{
            AcceptExchange, AnswerExchange, EndExchange, FinishExchange, OpenExchange,
            ResolveExchange,
        },
        exchange_channel::{ExchangeChannel, MAX_MESSAGE_BYTES, MAX_OPEN_BYTES},
    },
    crate::{
        auth::SharedKey,
        error::{ProcessStep, StepError},
    },
    std::{io, net::SocketAddr, pin::pin, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        select,
        sync::Semaphore,
        time::{sleep, timeout},
    },
    xtra::Address,
};

/// Exchanges that others may have open here at once.
pub const MAX_INBOUND_EXCHANGES: usize = 8;
/// Time for connecting, swapping nonces, and the first message.
pub const OPEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for a whole exchange.
pub const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(10);

const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(50);

/// Opens an exchange with `peer` and tells the actor how it ended.
pub async fn run_opener(peer: SocketAddr, key: SharedKey, actor: Address<MembershipActor>) {
    let mut bytes = 0;
    let exchange = open_exchange(peer, key, &actor, &mut bytes);
    let result = limit(EXCHANGE_TIMEOUT, exchange).await;
    end_exchange(&actor, peer, bytes, result, true).await;
}

/// Serves the exchanges that others open, until the actor has stopped.
pub async fn serve_exchanges(
    listener: TcpListener,
    key: SharedKey,
    actor: Address<MembershipActor>,
) {
    let permits = Arc::new(Semaphore::new(MAX_INBOUND_EXCHANGES));
    let mut stopped = pin!(actor.join());
    loop {
        let accepted = select! {
            () = &mut stopped => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, peer)) = accepted else {
            sleep(ACCEPT_ERROR_PAUSE).await;
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            continue;
        };
        let (key, actor) = (key.clone(), actor.clone());
        tokio::spawn(async move {
            let mut bytes = 0;
            let exchange = serve_exchange(stream, key, &actor, &mut bytes);
            let result = limit(EXCHANGE_TIMEOUT, exchange).await;
            drop(permit);
            end_exchange(&actor, peer, bytes, result, false).await;
        });
    }
}

async fn open_exchange(
    peer: SocketAddr,
    key: SharedKey,
    actor: &Address<MembershipActor>,
    bytes: &mut u64,
) -> io::Result<()> {
    let connecting = async {
        let stream = TcpStream::connect(peer).await?;
        ExchangeChannel::open(stream, key, true).await
    };
    let mut channel = limit(OPEN_TIMEOUT, connecting).await?;
    let open = actor.send(OpenExchange).await.map_err(io::Error::other)?;
    channel.send(&open).await?;
    let answer: ExchangeAnswer = channel.receive(MAX_MESSAGE_BYTES).await?;
    *bytes = channel.bytes();
    if answer.buckets == 0 {
        let finished = FinishExchange(ExchangeReply::default());
        return actor.send(finished).await.map_err(io::Error::other);
    }
    let resolve = ResolveExchange(answer);
    let push = actor.send(resolve).await.map_err(io::Error::other)?;
    channel.send(&push).await?;
    let reply: ExchangeReply = channel.receive(MAX_MESSAGE_BYTES).await?;
    *bytes = channel.bytes();
    let finish = FinishExchange(reply);
    actor.send(finish).await.map_err(io::Error::other)
}

async fn serve_exchange(
    stream: TcpStream,
    key: SharedKey,
    actor: &Address<MembershipActor>,
    bytes: &mut u64,
) -> io::Result<()> {
    let opening = async {
        let mut channel = ExchangeChannel::open(stream, key, false).await?;
        let open: ExchangeOpen = channel.receive(MAX_OPEN_BYTES).await?;
        Ok((channel, open))
    };
    let (mut channel, open) = limit(OPEN_TIMEOUT, opening).await?;
    let answer = actor.send(AnswerExchange(open)).await;
    let answer = answer.map_err(io::Error::other)?;
    let answer = answer.ok_or(io::ErrorKind::InvalidData)?;
    channel.send(&answer).await?;
    *bytes = channel.bytes();
    if answer.buckets == 0 {
        return Ok(());
    }
    let push: ExchangePush = channel.receive(MAX_MESSAGE_BYTES).await?;
    let accept = AcceptExchange(push);
    let reply = actor.send(accept).await.map_err(io::Error::other)?;
    channel.send(&reply).await?;
    *bytes = channel.bytes();
    Ok(())
}

async fn limit<T>(time: Duration, step: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    timeout(time, step).await.unwrap_or_else(|_| {
        let message = format!("not done within {time:?}");
        Err(io::Error::new(io::ErrorKind::TimedOut, message))
    })
}

async fn end_exchange(
    actor: &Address<MembershipActor>,
    peer: SocketAddr,
    bytes: u64,
    result: io::Result<()>,
    is_opener: bool,
) {
    let error = result
        .err()
        .map(|error| StepError::new(ProcessStep::BulkTransfer, peer, error));
    let end = EndExchange {
        bytes,
        error,
        is_opener,
    };
    let _ = actor.send(end).await;
}

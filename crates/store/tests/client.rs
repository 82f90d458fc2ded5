//! The client of the replicated state, against a store that follows a script.

mod support;

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::Duration;

use hooklug_protocol::control::NodeAddress;
use hooklug_protocol::store::{Execute, StoreRequestError};
use hooklug_rpc::{LocalIdentity, Router, RpcServer};
use hooklug_state::encode;
use hooklug_state::shard::ShardReply;
use hooklug_store::{Executed, StateAccess, StoreClient, Unavailable};
use hooklug_types::{Incarnation, NodeId, NodeRole, ZoneName, shard_of};
use support::{SECRET, TEST_TIMEOUT, free_address, rpc_client};
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// What the scripted store does with one command.
#[derive(Debug, Clone, Copy)]
enum Reply {
    /// It sends no reply.
    None,
    /// It reports that the command may or may not be applied.
    Uncertain,
    /// It reports that it has not accepted the command.
    Busy,
    /// It reports that the command was applied.
    Done,
}

/// Sends one command to a store that follows a script.
async fn execute(script: &[Reply], timeout: Duration) -> Result<Executed, Unavailable> {
    let store = free_address().await;
    let own = NodeAddress {
        node: NodeId(2),
        incarnation: Incarnation::at_start(),
        role: NodeRole::Store,
        rpc: store,
        http: store,
        zone: ZoneName::new("z1").unwrap(),
    };
    let identity = LocalIdentity::new(own, SECRET);
    let script: Mutex<VecDeque<Reply>> = Mutex::new(script.iter().copied().collect());
    let router = Router::new().route(move |_, _: Execute| {
        let reply = script.lock().unwrap().pop_front().expect("a command of the script");
        async move {
            match reply {
                Reply::None => std::future::pending().await,
                Reply::Uncertain => Err(StoreRequestError::Uncertain),
                Reply::Busy => Err(StoreRequestError::Busy),
                Reply::Done => Ok(encode(&ShardReply::Done).into()),
            }
        }
    });
    let listener = RpcServer::bind(store).await.expect("a free address");
    tokio::spawn(RpcServer::new(listener, identity, router).run(CancellationToken::new()));
    let (_stores, known) = watch::channel(vec![store]);
    let client = StoreClient::new(rpc_client(), known);
    let deadline = Instant::now() + timeout;
    client.execute_shard_tracked(shard_of("program"), &support::put("program"), deadline).await
}

/// Guards against a command whose first copy is applied after its second copy was refused, without
/// its sender knowing that this may happen.
#[tokio::test]
async fn a_reply_tells_whether_an_earlier_copy_of_the_command_may_follow() {
    let scripts: [(&[Reply], bool); 4] = [
        (&[Reply::Done], false),
        (&[Reply::Busy, Reply::Busy, Reply::Done], false),
        (&[Reply::Uncertain, Reply::Busy, Reply::Done], true),
        (&[Reply::None, Reply::Done], true),
    ];
    for (script, copy_may_follow) in scripts {
        let executed = execute(script, TEST_TIMEOUT).await;
        assert_eq!(
            executed,
            Ok(Executed { reply: ShardReply::Done, copy_may_follow }),
            "{script:?}"
        );
    }
}

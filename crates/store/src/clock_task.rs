//! Advances the clocks of the groups that this store leads by proposing clock commands.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hooklug_raft::Role;
use hooklug_state::encode;
use hooklug_state::meta::MetaCommand;
use hooklug_state::shard::ShardCommand;
use hooklug_types::{GroupId, META_GROUP, UnixMillis};

use crate::clock::GroupClock;
use crate::shared::Shared;

/// Interval at which the groups that this store leads are checked for a due clock step.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Proposes due clock steps until the task is aborted.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut led_groups: BTreeMap<GroupId, (u64, GroupClock)> = BTreeMap::new();
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let replicas = shared.replicator.status().await;
        let leads = replicas.into_iter().filter(|replica| replica.role == Role::Leader);
        let terms: BTreeMap<GroupId, u64> = leads.map(|r| (r.group, r.term)).collect();
        led_groups.retain(|group, (term, _)| terms.get(group) == Some(term));
        for (group, term) in terms {
            let Some(observations) = shared.observations.group(group) else { continue };
            let (commands, now) = (observations.commands(), Instant::now());
            let step = match led_groups.get_mut(&group) {
                Some((_, clock)) => clock.step(commands, now),
                None => {
                    let clock =
                        GroupClock::start(observations.clock(), UnixMillis::now(), commands, now);
                    led_groups.insert(group, (term, clock));
                    Some(clock.now(now))
                }
            };
            if let Some(step) = step {
                propose(&shared, group, step);
            }
        }
    }
}

/// Proposes a clock step in the background. A failure is ignored, since the next step makes up for
/// it.
fn propose(shared: &Arc<Shared>, group: GroupId, now: UnixMillis) {
    let command = if group == META_GROUP {
        encode(&MetaCommand::AdvanceClock { now })
    } else {
        encode(&ShardCommand::AdvanceClock { now })
    };
    let replicator = shared.replicator.clone();
    tokio::spawn(async move {
        let _ = replicator.execute(group, command).await;
    });
}

//! Messages of an anti-entropy exchange, which copies the records that differ between two tables in
//! both directions.

use {
    super::{
        ExchangeDiff, ExchangeDigest, ExchangePush, ExchangeReply, MAX_EXCHANGE_RECORDS,
        MemberEntry, MemberId, MemberRecord, MemberState, MemberSummary, MemberTable,
    },
    std::{cmp::Ordering, collections::BTreeMap, net::SocketAddr},
};

/// Builds the first message, from the initiator.
#[must_use]
pub fn build_digest(table: &MemberTable, sender: MemberId) -> ExchangeDigest {
    ExchangeDigest {
        sender,
        digest: table.digest().clone(),
    }
}

/// Builds the second message, from the responder; `None` if the digest has a different number of
/// buckets.
#[must_use]
pub fn compare_digest(table: &MemberTable, peer_digest: &ExchangeDigest) -> Option<ExchangeDiff> {
    let buckets = table.digest().differing_buckets(&peer_digest.digest)?;
    let summaries = table.in_buckets(buckets).map(MemberEntry::summary);
    Some(ExchangeDiff {
        buckets,
        summaries: summaries.collect(),
    })
}

/// Builds the third message, from the initiator: records that are newer at the initiator, and
/// requests for those that are newer at the responder.
#[must_use]
pub fn build_push(table: &MemberTable, diff: &ExchangeDiff) -> ExchangePush {
    let mut peer_summaries: BTreeMap<SocketAddr, MemberSummary> = BTreeMap::new();
    for summary in &diff.summaries {
        peer_summaries.insert(summary.id.address, *summary);
    }
    let mut push = ExchangePush::default();
    for entry in table.in_buckets(diff.buckets) {
        let own = entry.summary();
        match peer_summaries.remove(&own.id.address) {
            Some(other) => match compare_summaries(&own, &other) {
                Ordering::Greater => push.records.push(copy_record(entry)),
                Ordering::Less => push.wanted.push(other.id),
                Ordering::Equal => {}
            },
            None if entry.is_dead() => {}
            None => push.records.push(copy_record(entry)),
        }
    }
    let missing = peer_summaries.into_values();
    let missing = missing.filter(|summary| summary.state != MemberState::Dead);
    push.wanted.extend(missing.map(|summary| summary.id));
    push
}

/// Builds the last message, from the responder: the requested records.
#[must_use]
pub fn build_reply(table: &MemberTable, wanted: &[MemberId]) -> ExchangeReply {
    let wanted = wanted.iter().take(MAX_EXCHANGE_RECORDS);
    let keys = wanted.filter_map(|id| table.find(id.address));
    let entries = keys.filter_map(|key| table.get(key));
    ExchangeReply {
        records: entries.map(copy_record).collect(),
    }
}

fn compare_summaries(own: &MemberSummary, other: &MemberSummary) -> Ordering {
    let rank = |summary: &MemberSummary| {
        (
            summary.id.started_ms,
            summary.incarnation,
            summary.state,
            summary.fingerprint,
        )
    };
    rank(own).cmp(&rank(other))
}

fn copy_record(entry: &MemberEntry) -> MemberRecord {
    MemberRecord::clone(&entry.record)
}

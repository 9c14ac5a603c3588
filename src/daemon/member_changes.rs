use {
    crate::{
        events::EventKind,
        membership::{MemberId, MemberState, MemberView},
    },
    std::collections::HashMap,
};

/// States of the members in the latest view, which are compared with those in the next one.
#[derive(Debug, Default)]
pub(crate) struct MemberChanges {
    states: HashMap<MemberId, MemberState>,
}

impl MemberChanges {
    /// Applies a view and returns the events of its changes since the previous one.
    pub(crate) fn apply_view(&mut self, view: &MemberView) -> Vec<EventKind> {
        let states: HashMap<MemberId, MemberState> = view
            .members
            .iter()
            .map(|record| (record.id, record.state))
            .collect();
        let mut events: Vec<EventKind> = states
            .iter()
            .filter_map(|(member, state)| self.state_event(*member, *state))
            .collect();
        let departed = self
            .states
            .iter()
            .filter(|(member, _)| !states.contains_key(member))
            .map(|(member, state)| departure_event(*member, *state));
        events.extend(departed);
        self.states = states;
        events
    }

    fn state_event(&self, member: MemberId, state: MemberState) -> Option<EventKind> {
        let before = self.states.get(&member).copied();
        if before == Some(state) {
            return None;
        }
        match state {
            MemberState::Alive => Some(EventKind::MemberJoined { member }),
            MemberState::Suspect => Some(EventKind::MemberSuspected { member }),
            MemberState::Leaving => Some(EventKind::MemberLeft { member }),
            MemberState::Dead => Some(EventKind::MemberDied { member }),
        }
    }
}

/// Event of a member that is no longer in the view. It has left if it announced this;
/// otherwise it has failed without a leave announcement.
fn departure_event(member: MemberId, last: MemberState) -> EventKind {
    match last {
        MemberState::Leaving => EventKind::MemberLeft { member },
        _ => EventKind::MemberDied { member },
    }
}

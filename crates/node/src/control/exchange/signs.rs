//! The section of an exchange about backend servers that are leaving.

use crate::{control::State, wire};

/// Signs of leaving that this host has seen or heard of.
pub(super) fn section(state: &State) -> Vec<wire::Sign> {
    let inner = state.lock();
    let signs = inner.leaving.iter();
    signs
        .map(|(name, incarnation)| wire::Sign { server: name.clone(), incarnation: *incarnation })
        .collect()
}

/// Takes over the signs of a peer or of the own entry daemon.
pub(super) fn take_over(state: &State, signs: &[wire::Sign]) {
    for sign in signs {
        state.note_leaving(&sign.server, sign.incarnation);
    }
}

//! Counts bytes of answers that come back over a link between regions.

use oleanderspan::{prelude::*, snapshot::Link};

use crate::clock::Monotonic;

/// Counts bytes against the budget of a link.
#[derive(Debug)]
pub struct Meter {
    link: Arc<Link>,
    clock: Monotonic,
}

impl Meter {
    /// A meter of answers that come back over `link`.
    pub fn new(link: &Arc<Link>, clock: Monotonic) -> Meter {
        Meter { link: Arc::clone(link), clock }
    }

    /// Counts bytes that have arrived; they may put the budget into debt.
    pub fn count(&self, bytes: usize) {
        self.link.answers.spend(bytes as u64, self.clock.now());
    }
}

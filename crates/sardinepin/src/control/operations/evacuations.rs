//! Evacuates availability zones and ends evacuations, by operators.

use sardinepin_config::object_key;

use super::{AcceptedChange, ChangeError, Control};

/// The value of an evacuation; its name says all.
const EVACUATION_VALUE: &str = "{}";

/// How many times the change is tried when another one is written first.
const TRIES_MAX: u32 = 32;

impl Control {
    /// Evacuates a zone, or ends its evacuation. Nothing changes if that is in force already.
    ///
    /// # Errors
    ///
    /// As for [`Control::put_rules`].
    pub async fn set_evacuated(
        &self,
        operator: &str,
        zone: &str,
        evacuated: bool,
    ) -> Result<AcceptedChange, ChangeError> {
        let key = object_key("evacuations", zone);
        let value = evacuated.then_some(EVACUATION_VALUE);
        let mut last_conflict = ChangeError::NotFound;
        for _ in 0..TRIES_MAX {
            let current = self.read_object(&key).await?;
            let expected = current.as_ref().map(|object| object.revision);
            if current.is_some() == evacuated {
                return Ok(AcceptedChange {
                    revision: expected.unwrap_or_else(|| self.snapshot_revision()),
                    changed: false,
                });
            }
            match self.put_object(operator, &key, expected, value).await {
                Err(conflict @ ChangeError::Conflict { .. }) => last_conflict = conflict,
                other => return other,
            }
        }
        Err(last_conflict)
    }

    fn snapshot_revision(&self) -> sardinepin_common::Revision {
        self.snapshots().borrow().revision()
    }
}

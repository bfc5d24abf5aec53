//! Reads and validates rule lists.

use sardinepin_config::{RuleList, validate_rules};

use super::fields::constraint_at;
use crate::options::FileErrors;
use crate::options::document::Document;

/// Reads and validates a rule list.
pub(crate) fn read_rules(document: &Document<'_>) -> Result<RuleList, FileErrors> {
    let (list, mut errors): (RuleList, _) = document.deserialize(constraint_at)?;
    // Rules are incomplete if invalid fields were removed, so validation would report false errors.
    if errors.is_empty() {
        errors.extend(
            validate_rules(&list)
                .into_iter()
                .map(|error| document.error_at(&error.field, error.message)),
        );
    }
    FileErrors::into_result(errors, list)
}

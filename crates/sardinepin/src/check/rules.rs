//! Rule lists in files.

use sardinepin_config::{RuleList, validate_rules};

use super::fields::allowed_at;
use crate::options::FileErrors;
use crate::options::document::Document;

/// Reads and checks a rule list.
pub(crate) fn read_rules(document: &Document<'_>) -> Result<RuleList, FileErrors> {
    let (list, mut faults): (RuleList, _) = document.read(allowed_at)?;
    // Rules whose parts were taken out would be blamed for what they lack.
    if faults.is_empty() {
        faults.extend(
            validate_rules(&list)
                .into_iter()
                .map(|fault| document.fault(&fault.field, fault.message)),
        );
    }
    FileErrors::or(faults, list)
}

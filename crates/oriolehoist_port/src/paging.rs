use crate::{Item, StoreRequest};

/// The progress of a list of all items under a prefix, which is read in pages.
///
/// Each page has to lead behind the one before it, so that the list ends whatever the store returns.
///
/// ```
/// use oriolehoist_port::{Coverage, NextPage, Paging};
///
/// let mut paging = Paging::new("servers/");
/// assert_eq!(paging.on_page(&[], true), NextPage::None(Coverage::UpTo(String::new())));
/// ```
#[derive(Clone, Debug)]
pub struct Paging {
    prefix: String,
    /// The greatest key read, or an empty string.
    last_key: String,
}

/// What follows a page of a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextPage {
    /// There are more pages.
    More,
    /// No other page can be read.
    None(Coverage),
}

/// Which items a list includes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Coverage {
    /// All items under the prefix.
    Complete,
    /// The items up to this key. Those behind it could not be read.
    UpTo(String),
}

impl Paging {
    /// Starts a list of the items under a prefix.
    pub fn new(prefix: impl Into<String>) -> Paging {
        Paging { prefix: prefix.into(), last_key: String::new() }
    }

    /// Returns the request for the next page.
    pub fn request(&self) -> StoreRequest {
        let after = Some(self.last_key.clone()).filter(|key| !key.is_empty());
        StoreRequest::List { prefix: self.prefix.clone(), after }
    }

    /// Records a page, and whether the store says that there are more.
    pub fn on_page(&mut self, items: &[Item], has_more: bool) -> NextPage {
        let last = items.iter().map(|item| &item.key).max();
        match last.filter(|key| **key > self.last_key) {
            _ if !has_more => NextPage::None(Coverage::Complete),
            Some(key) => {
                self.last_key.clone_from(key);
                NextPage::More
            }
            None => NextPage::None(self.coverage()),
        }
    }

    /// Returns which items were read if no more pages can be.
    pub fn coverage(&self) -> Coverage {
        Coverage::UpTo(self.last_key.clone())
    }
}

impl Coverage {
    /// Returns whether an item with this key would be included.
    pub fn includes(&self, key: &str) -> bool {
        match self {
            Coverage::Complete => true,
            Coverage::UpTo(last) => key <= last.as_str(),
        }
    }
}

//! Integer ids for interned names, so that the hot path compares integers instead of strings.

use greengage_core::SortedMap;

macro_rules! define_ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub(crate) struct $name(pub(crate) u32);

        impl $name {
            pub(crate) fn new(index: usize) -> $name {
                $name(u32::try_from(index).expect("an id fits 32 bits"))
            }

            pub(crate) fn index(self) -> usize {
                self.0 as usize
            }
        }
    )*};
}

define_ids! {
    AccountId;
    /// A kind of work (template) on one kind of target.
    WorkId;
    TargetId;
    /// The attributes of a task that decide its placement; see `ShapeKey`.
    ShapeId;
    /// The slab index of a job; reused after the job ends.
    JobId;
    /// A group of kinds of work that share targets; see `pools`.
    PoolId;
}

/// An interned rack name; 0 stands for targets without a rack.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RackId(pub(crate) u32);

/// Maps names to dense ids and back. Ids are never reused.
pub(crate) struct Interner<K> {
    ids: SortedMap<K, usize>,
    names: Vec<K>,
}

impl<K: Ord + Clone> Interner<K> {
    pub(crate) fn new() -> Interner<K> {
        Interner {
            ids: SortedMap::new(),
            names: Vec::new(),
        }
    }

    /// Returns the id of a name, assigning the next one to a new name.
    pub(crate) fn intern(&mut self, name: &K) -> usize {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = self.names.len();
        self.names.push(name.clone());
        self.ids.insert(name.clone(), id);
        id
    }

    pub(crate) fn name(&self, id: usize) -> &K {
        &self.names[id]
    }
}

/// Values by id. Ids are dense, so a plain vector gives a constant-time lookup on the hot path.
pub(crate) struct IdVec<T> {
    items: Vec<T>,
}

impl<T> Default for IdVec<T> {
    fn default() -> Self {
        IdVec { items: Vec::new() }
    }
}

impl<T: Default> IdVec<T> {
    pub(crate) fn get(&self, index: usize) -> Option<&T> {
        self.items.get(index)
    }

    /// Returns the value of an id, extending the vector with defaults up to it.
    pub(crate) fn get_or_default(&mut self, index: usize) -> &mut T {
        if self.items.len() <= index {
            self.items.resize_with(index + 1, T::default);
        }
        &mut self.items[index]
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (usize, &T)> {
        self.items.iter().enumerate()
    }
}

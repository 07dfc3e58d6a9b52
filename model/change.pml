/* Changes to plans and permissions: the change log, entries with an old state,
 * and a gate that starts while the table service is down (core/keeper).
 *
 * There are PEERS entries, of which at most STALE are partitioned from the log
 * and keep an old sequence number. A change is active once every entry that is
 * not partitioned has it. One gate restarts at any moment, loses its state, and
 * starts from the peers that reply: at least QUORUM of them. Entries propose
 * with their own sequence number; the gate refuses one that is older than its
 * own.
 *
 * Checked: the sequence number of a process never decreases; once the last
 * change is active, no work runs under an older one. */
#define PEERS 4
#define STALE 2
#ifndef QUORUM
#define QUORUM 3
#endif
#define LAST 2

byte head = 0;                  /* sequence number of the last change in the log */
byte entry_sequence[PEERS] = 0; /* State.Sequence of each entry */
bool partitioned[PEERS] = false;
byte partitions = 0;
bool is_active = false;         /* every entry that is not partitioned has the last change */

byte gate = 0;                  /* State.Sequence of the gate */
bool ready = true;              /* Keeper.Ready of the gate */
bool must_know = false;         /* the gate must know the last change */

/* A commit and the pushes to entries, then to the gate.
 * go: core/keeper Keeper.Commit, entry/internal/gossiper service.Push */
proctype log() {
  byte i = 0;
  do
  :: head < LAST -> head++
  :: head == LAST -> break
  od;
  do
  :: i < PEERS ->
     if
     :: atomic { !partitioned[i] -> assert(entry_sequence[i] <= head); entry_sequence[i] = head }
     :: atomic { !partitioned[i] && partitions < STALE -> partitioned[i] = true; partitions++ }
     fi;
     i++
  :: i == PEERS -> break
  od;
  is_active = true;
  atomic { /* go: entry/internal/gossiper Gossiper.pushServers */
    if
    :: ready -> assert(gate <= head); gate = head; must_know = true
    :: !ready
    fi
  }
}

/* The sidecar is replaced at any moment, loses its state and starts from peers
 * while the table service is down. */
proctype restart() {
  byte i = 0;
  byte replies = 0;
  byte highest = 0;
  bool was_active;
  /* go: core/keeper Keeper.fromPeers */
  atomic { ready = false; must_know = false; gate = 0; was_active = is_active };
  do
  :: i < PEERS ->
     if
     :: atomic { replies++; if :: entry_sequence[i] > highest -> highest = entry_sequence[i] :: else fi }
     :: true /* no reply */
     fi;
     i++
  :: i == PEERS -> break
  od;
  if
  :: replies >= QUORUM -> atomic { gate = highest; ready = true; must_know = was_active } /* go: core/keeper CanStart */
  :: replies < QUORUM /* the gate stays not ready and serves no calls */
  fi
}

/* A proposal of an entry, whose sequence number may be old on arrival.
 * go: sidecar/internal/gatekeeper Gate.Admit */
proctype propose(byte i) {
  byte sequence;
  sequence = entry_sequence[i];
  atomic {
    if
    :: ready && sequence >= gate ->
       assert(!must_know || sequence == head); /* no work runs under an older change */
       gate = sequence /* go: core/keeper Keeper.Observe, core/keeper Keeper.CatchUp */
    :: else /* REASON_STALE, or not ready */
    fi
  }
}

init {
  byte i = 0;
  atomic {
    do
    :: i < PEERS -> run propose(i); i++
    :: i == PEERS -> break
    od;
    run log();
    run restart()
  }
}

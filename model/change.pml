/* Changes to plans and permissions: the log, stale entries, and a gate that
 * starts while the table service is down (core/keeper).
 *
 * PEERS entries, of which at most STALE are cut off and keep an old sequence
 * number. A change is in force once every entry that is not cut has it. One
 * gate is restarted at any moment, forgets everything, and starts from the
 * peers that answer: NEED of them at least. Entries propose with their own
 * number; the gate refuses an older one.
 *
 * Checked: a process never goes back; once the last change is in force, no
 * work runs under an older one. */
#define PEERS 4
#define STALE 2
#ifndef NEED
#define NEED 3
#endif
#define LAST 2

byte head = 0;
byte at[PEERS] = 0;    /* State.Sequence of each entry */
bool cut[PEERS] = false;
byte cuts = 0;
bool in_force = false; /* every entry that is not cut has the last change */

byte gate = 0;         /* State.Sequence of the gate */
bool ready = true;     /* Keeper.Ready of the gate */
bool sure = false;     /* the gate must know the last change */

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
     :: atomic { !cut[i] -> assert(at[i] <= head); at[i] = head }
     :: atomic { !cut[i] && cuts < STALE -> cut[i] = true; cuts++ }
     fi;
     i++
  :: i == PEERS -> break
  od;
  in_force = true;
  atomic { /* go: entry/internal/gossiper Gossiper.pushServers */
    if
    :: ready -> assert(gate <= head); gate = head; sure = true
    :: !ready
    fi
  }
}

/* The sidecar is replaced at any moment, forgets everything and starts from
 * peers; the table service is down. */
proctype restart() {
  byte i = 0;
  byte answers = 0;
  byte best = 0;
  bool after;
  /* go: core/keeper Keeper.fromPeers */
  atomic { ready = false; sure = false; gate = 0; after = in_force };
  do
  :: i < PEERS ->
     if
     :: atomic { answers++; if :: at[i] > best -> best = at[i] :: else fi }
     :: true /* no answer */
     fi;
     i++
  :: i == PEERS -> break
  od;
  if
  :: answers >= NEED -> atomic { gate = best; ready = true; sure = after } /* go: core/keeper CanStart */
  :: answers < NEED /* serves nobody */
  fi
}

/* A proposal of an entry, which may be old on arrival.
 * go: sidecar/internal/gatekeeper Gate.Admit */
proctype propose(byte i) {
  byte sequence;
  sequence = at[i];
  atomic {
    if
    :: ready && sequence >= gate ->
       assert(!sure || sequence == head); /* nothing runs under an older change */
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

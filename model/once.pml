/* Calls that may not be repeated: sidecar/internal/recorder.
 *
 * N attempts of one key, each in a sidecar process of its own (a sidecar that
 * is started again is the next attempt), before one row of the table service.
 * A process may stop at any step: killed, or paused for any time, it takes no
 * more steps or takes them late, and every state of this model is the last of
 * some run. One write of each attempt is lost, with its effect now, later or
 * never, and the read that follows may fail. The table service is away once,
 * from any moment to any later one, and refuses meanwhile.
 *
 * Attempts differ in nothing but their number, so they begin in its order: any
 * run in another order is one of these with the numbers exchanged. What a
 * caller hears is kept only as far as it is checked: whether it was "not run".
 *
 * Checked: the call is handed over at most once; an attempt that was called
 * not run is not handed over; an answer stands only after a hand-over. */
#ifndef N
#define N 3
#endif

mtype = { absent, claimed, answered, void, waiting, handed, abandoned, ok, conflict, lost, refused };

mtype state = absent; /* the row */
byte owner = 0;       /* whose claim stands in it */
byte version = 0;
bool down = false;    /* the table service refuses */

byte begun = 0;
mtype phase[N] = waiting; /* flight.phase */
bool denied[N] = false;   /* the caller was told "not run" */
bool handover = false;    /* of any attempt */

/* Writes on their way whose senders have given up waiting. */
mtype late_state[N] = absent;
byte late_version[N] = 0;

#define deny(i) assert(phase[i] != handed); denied[i] = true

/* What a write leaves. A claim is voided by overwriting. */
inline put(i, next) {
#ifdef DELETE
  if
  :: next == void -> state = absent; owner = 0; version = 0
  :: else -> state = next; owner = i + 1; version++
  fi
#else
  state = next; owner = i + 1; version++
#endif
}

/* One row under a check of its version. go: core/storer Table.Commit */
inline commit(i, next) {
  atomic {
    if
    :: down -> result = refused
    :: !down && version == checked -> put(i, next); result = ok
    :: !down && version != checked -> result = conflict
    :: !down && losses && version == checked -> losses = false; put(i, next); result = lost
    :: !down && losses -> losses = false; late_state[i] = next; late_version[i] = checked; result = lost
    :: !down && losses -> losses = false; result = lost
    fi
  }
}

/* go: sidecar/internal/recorder Recorder.execute */
proctype attempt(byte i) {
  byte checked = 0;
  bool losses = true;
  mtype result;

  atomic { begun == i -> begun++ };
insert: /* go: sidecar/internal/recorder Recorder.claim */
  if
  :: phase[i] == abandoned -> goto over /* op.dropped */
  :: else
  fi;
  commit(i, claimed);
  atomic {
    if
    :: result == ok -> checked++; goto own
    :: result == conflict -> goto present
    :: result == refused -> deny(i); goto over
    :: result == lost
    fi
  };
  atomic { /* go: sidecar/internal/recorder committer.applied */
    if
    :: !down && owner == i + 1 && state == claimed -> checked = version; goto own
    :: !down && version == checked -> goto insert
    :: !down && version != checked && owner != i + 1 -> goto present
    :: true -> /* not readable: never run */
       if :: phase[i] == waiting -> phase[i] = abandoned :: else fi;
       deny(i); goto give_up
    fi
  };

present: /* go: sidecar/internal/recorder flight.resultOfRow */
  atomic {
    if
    :: owner == i + 1 && state == claimed -> checked = version; goto own
    :: owner != i + 1 && state == void -> checked = version; goto insert
#ifdef TAKEOVER
    :: owner != i + 1 && state == claimed -> checked = version; goto insert /* its lease is over */
#endif
    :: state == answered -> assert(handover); goto over
    :: state == absent -> checked = version; goto insert
    :: else -> goto over /* unknown */
    fi
  };

own:
  atomic { /* the clock is read again, and the phase leaves waiting once */
    if
    :: phase[i] == waiting -> phase[i] = handed
    :: phase[i] == waiting -> phase[i] = abandoned; deny(i); goto give_up
    :: phase[i] == abandoned -> deny(i); goto give_up
    fi;
    assert(!handover); /* handed over at most once */
    assert(!denied[i]); /* "not run" is true */
    handover = true; /* go: sidecar/internal/server Server.deliver */
    if
    :: true /* answered */
    :: goto over /* the service lost the answer */
    :: phase[i] = abandoned; handover = false; deny(i); goto give_up /* no byte reached it. go: sidecar/internal/recorder Recorder.voidFirst */
    fi
  };
  commit(i, answered); /* its losses leave the row claimed. go: sidecar/internal/recorder Recorder.store */
  goto over;

give_up: /* go: sidecar/internal/recorder Recorder.void */
  commit(i, void);
  atomic { /* go: sidecar/internal/recorder Recorder.rewrite */
    if
    :: result == lost || result == refused -> goto give_up
    :: result == conflict && owner == i + 1 && state == claimed -> checked = version; goto give_up
    :: else
    fi
  };

over:
  atomic { checked = 0; losses = false; result = 0 }
}

inline expire(i) {
#ifdef DENY
  atomic { begun > i && !denied[i] -> deny(i) };
#endif
  atomic { begun > i && phase[i] == waiting -> phase[i] = abandoned; deny(i) }
}

/* The deadline of a caller, at any moment. go: sidecar/internal/recorder flight.await */
active proctype deadlines() {
end:
  do
  :: expire(0)
  :: expire(1)
#if N > 2
  :: expire(2)
#endif
  od
}

inline land(i) {
  atomic {
    late_state[i] != absent ->
    if
    :: late_version[i] == version -> put(i, late_state[i])
    :: else
    fi;
    late_state[i] = absent; late_version[i] = 0
  }
}

/* The table service applies late writes at any moment, or never, and is away once. */
active proctype table() {
  byte changes = 0;
end:
  do
  :: land(0)
  :: land(1)
#if N > 2
  :: land(2)
#endif
  :: atomic { changes < 2 -> down = !down; changes++ }
  od
}

init {
  byte i = 0;
  atomic {
    do
    :: i < N -> run attempt(i); i++
    :: i == N -> i = 0; break
    od
  }
}

/* Calls that may not be repeated: sidecar/internal/recorder.
 *
 * N attempts of one key, each in its own sidecar process, before one row of
 * the table service. Any step may be the last of an attempt (its process is
 * killed) and may come arbitrarily late (it is paused). A write's answer may
 * be lost, with the write taking effect now, later or never; the table may
 * refuse writes and fail reads.
 *
 * Checked: the call is handed over at most once, "not run" is true, and an
 * answer is only replayed after a hand-over. */
#ifndef N
#define N 2
#endif
#define LOSSES 1 /* writes of one attempt whose answers may be lost */

mtype = { absent, claimed, answered, void, waiting, handed, abandoned,
          untold, notrun, unknown, done, ok, conflict, lost, refused };

mtype state = absent; /* the row */
byte owner = 0;       /* whose claim stands in it */
byte version = 0;

mtype phase[N] = waiting; /* flight.phase */
mtype told[N] = untold;   /* what the caller heard */
byte handovers = 0;

/* Writes on their way whose senders have given up waiting. */
mtype late_state[N] = absent;
byte late_version[N] = 0;

inline tell(i, word) { if :: told[i] == untold -> told[i] = word :: else fi }

/* storer.Table.Commit of one row under a check of its version. */
inline commit(i, checked, next, result) {
  atomic {
    if
    :: version == checked -> state = next; owner = i + 1; version++; result = ok
    :: version != checked -> result = conflict
    :: losses > 0 && version == checked -> losses--;
         state = next; owner = i + 1; version++; result = lost
    :: losses > 0 && late_state[i] == absent -> losses--;
         late_state[i] = next; late_version[i] = checked; result = lost
    :: losses > 0 -> losses--; result = lost
    :: losses > 0 -> losses--; result = refused
    fi
  }
}

/* A write that the table applies after its sender has given it up. */
inline land(i) {
  atomic {
    late_state[i] != absent ->
    if
    :: late_version[i] == version -> state = late_state[i]; owner = i + 1; version++
    :: else
    fi;
    late_state[i] = absent
  }
}

/* Recorder.fly */
proctype attempt(byte i) {
  byte checked = 0;
  byte losses = LOSSES;
  mtype result;

insert: /* Recorder.claim */
  if :: true :: goto killed fi;
  if :: phase[i] == abandoned -> goto killed :: else fi; /* op.dropped */
  commit(i, checked, claimed, result);
  if
  :: result == ok -> checked++; goto own
  :: result == conflict -> goto present
  :: result == refused -> tell(i, notrun); goto killed
  :: result == lost -> /* committer.landed */
     if
     :: atomic { owner == i + 1 && state == claimed -> checked = version }; goto own
     :: atomic { version == checked } -> goto insert
     :: atomic { version != checked && owner != i + 1 } -> goto present
     :: true -> /* not readable: never run */
        atomic { if :: phase[i] == waiting -> phase[i] = abandoned :: else fi };
        tell(i, notrun); goto give_up
     fi
  fi;

present: /* flight.present, on the row that the conflict returned */
  atomic {
    if
    :: owner == i + 1 && state == claimed -> checked = version; goto own
    :: owner != i + 1 && state == void -> checked = version; goto insert
#ifdef TAKEOVER
    :: owner != i + 1 && state == claimed -> checked = version; goto insert /* its lease is over */
#endif
    :: owner != i + 1 && state == answered -> assert(handovers == 1); tell(i, done); goto killed
    :: state == absent -> checked = version; goto insert
    :: else -> tell(i, unknown); goto killed
    fi
  };

own:
  if :: true :: goto killed fi;
  atomic { /* the clock is read again, and the phase leaves waiting once */
    if
    :: phase[i] == waiting -> phase[i] = handed
    :: phase[i] == waiting -> phase[i] = abandoned; goto too_late
    :: phase[i] == abandoned -> goto too_late
    fi;
    handovers++; /* Run */
    assert(handovers <= 1);
    assert(told[i] != notrun)
  };
  if
  :: tell(i, unknown); goto killed /* the service lost the answer */
  :: true
  fi;
  commit(i, checked, answered, result); /* Recorder.store; its losses leave the row claimed */
  tell(i, done);
  goto killed;

too_late:
  tell(i, notrun);

give_up: /* Recorder.void */
  if :: true :: goto killed fi;
  commit(i, checked, void, result);
  if
  :: result == lost || result == refused -> goto give_up
  :: result == conflict ->
     atomic { if :: owner == i + 1 && state == claimed -> checked = version; goto give_up :: else fi }
  :: else
  fi;

killed:
  skip
}

/* flight.await: the caller's deadline, at any moment. */
proctype caller(byte i) {
  atomic {
    if
    :: told[i] != untold
    :: told[i] == untold && phase[i] == waiting -> phase[i] = abandoned; told[i] = notrun
    :: told[i] == untold && phase[i] != waiting -> told[i] = unknown
    fi
  }
}

/* The table service applies delayed writes at any moment, or never. */
proctype table() {
  byte i = 0;
  do
  :: i < N ->
     if
     :: land(i)
     :: true
     fi;
     i++
  :: i == N -> break
  od
}

init {
  byte i = 0;
  atomic {
    do
    :: i < N -> run attempt(i); run caller(i); i++
    :: i == N -> break
    od;
    run table()
  }
}

Feature: No task runs twice and no job is lost while workers fail
  Daemons run as separate processes against workers that lose power, refuse connections, are cut off or
  execute orders late, as a seed determines. Only what the workers and the clients have seen is judged.
  `tools/run_worker_soak.py` runs further seeds and longer traffic.

  Scenario Outline: no task runs twice and no job is lost under a series of faults
    Guards against runs that are started elsewhere while the first one is at work, against tasks that are
    started again after their end was taken note of, and against jobs that are lost.

    When workers run jobs for 8 s under the faults "<mix>" of seed <seed>
    Then no task ran twice and no job was lost

    Examples:
      | mix      | seed |
      | restarts | 1    |
      | refusals | 1    |
      | silences | 4101 |
      | all      | 1    |

  Scenario Outline: no task runs twice and no job is lost while the network is cut in two
    Guards against a scheduler that is cut off from the store and from some workers, gives up runs there
    that its successor keeps alive, and starts their tasks again on the workers that it still reaches.

    When <workers> workers and <daemons> daemons run jobs for <seconds> s under the faults "<mix>" of seed <seed>
    Then no task ran twice and no job was lost

    Examples:
      | mix        | seed | workers | daemons | seconds |
      | partitions | 2    | 12      | 5       | 22      |

  Scenario Outline: the check for runs of one task finds a planted violation and nothing else
    Guards against a check that cannot fail. In each history run 1 starts on worker "a" at 1.0 s; the end
    with number 1 of a life is its first one.

    Given a history in which <history>
    Then the check for runs of one task finds <found>

    Examples: violations
      | history                                                                        | found                              |
      | run 2 starts on b at 2.0 s, run 1 ends done at 3.0 s                           | at once                            |
      | run 1 starts on b at 2.0 s, run 1 ends done at 3.0 s                           | at once                            |
      | run 2 starts on a at 2.0 s, run 1 ends lapsed at 3.0 s                         | at once                            |
      | run 2 starts on b at 2.0 s                                                     | at once                            |
      | run 1 ends done at 2.0 s, ack 1 at 2.5 s, run 2 starts on b at 3.0 s           | after done                         |
      | run 1 ends done at 2.0 s, run 2 starts on b at 3.0 s, ack 1 at 9.0 s           | after done                         |
      | run 1 ends done at 2.0 s, ack 1 at 2.5 s, lapse at 2.7 s, run 2 starts on b at 3.0 s | after done                   |
      | ack 7 at 0.5 s, run 1 ends done at 2.0 s, run 2 starts on b at 3.0 s           | after done, acknowledged too early |

    Examples: histories that keep the rule
      | history                                                                        | found   |
      | run 1 ends done at 2.0 s, ack 1 at 2.5 s                                       | nothing |
      | run 1 ends gone at 2.0 s, run 2 starts on b at 2.0 s                           | nothing |
      | run 1 ends lapsed at 2.0 s, ack 1 at 2.5 s, run 2 starts on b at 2.6 s         | nothing |
      | run 1 ends done at 2.0 s, run 2 starts on b at 3.0 s                           | nothing |
      | run 1 ends done at 2.0 s, lapse at 2.4 s, ack 1 at 2.5 s, run 2 starts on b at 3.0 s | nothing |

  Scenario Outline: where only listed ends are forgotten, an early number is no acknowledgement
    Guards against a breach that is counted though the end is listed to the daemons as before.

    Given a history in which <history>
    Then the check for runs of one task, with only listed ends forgotten, finds <found>

    Examples:
      | history                                                                        | found      |
      | ack 7 at 0.5 s, run 1 ends done at 2.0 s, run 2 starts on b at 3.0 s           | nothing    |
      | ack 7 at 0.5 s, run 1 ends done at 2.0 s, ack 7 at 2.5 s, run 2 starts on b at 3.0 s | after done |

  Scenario Outline: the check for lost jobs finds a planted violation and nothing else
    Guards against a check that cannot fail. A job with one task is accepted at 1.0 s.

    Given a job whose last answer at 30.0 s is "<state>" and whose run <run>
    Then the check for lost jobs finds <found>

    Examples:
      | state     | run                               | found   |
      | complete  | starts at 2.0 s, ends at 3.0 s    | nothing |
      | running   | starts at 20.0 s                  | nothing |
      | running   | starts at 20.0 s, ends at 28.0 s  | nothing |
      | running   | starts at 20.0 s, ends at 26.5 s  | idle    |
      | queued    | never starts                      | idle    |
      | unknown   | starts at 2.0 s, ends at 3.0 s    | shown   |
      | no answer | starts at 2.0 s, ends at 3.0 s    | shown   |
      | failed    | starts at 2.0 s, ends at 3.0 s    | shown   |
      | cancelled | starts at 2.0 s, ends at 3.0 s    | shown   |

  Scenario Outline: the check of the answers during the traffic finds a planted violation and nothing else
    Guards against a check that cannot fail, and against one that blames a daemon that was stopped. A job
    is accepted at 1.0 s; the daemon "vm-0" is stopped from 10.0 s to 12.0 s.

    Given a client to whom "vm-0" answered "<state>" at <time_s> s about a job with <failed> failed runs
    Then the check of the answers finds <found>

    Examples:
      | state     | time_s | failed | found   |
      | running   | 5.0    | 0      | nothing |
      | unknown   | 3.0    | 0      | nothing |
      | unknown   | 5.0    | 0      | shown   |
      | unknown   | 13.0   | 0      | nothing |
      | unknown   | 17.0   | 0      | shown   |
      | failed    | 5.0    | 0      | shown   |
      | failed    | 5.0    | 2      | shown   |
      | failed    | 5.0    | 3      | nothing |
      | failed    | 11.0   | 0      | shown   |
      | cancelled | 5.0    | 0      | shown   |

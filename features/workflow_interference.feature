Feature: Tasks that slow each other on a worker
  Some tasks slow each other down when they share a worker. The scheduler detects them by the
  progress of runs and places them apart where there is room. Workers report every 0.1 to 1.5 s, in
  whole percent; estimates are wrong by up to a factor of two.

  Scenario: two images that slow each other are detected and placed apart
    Fails if the slowdown is not found, or if the choice of the worker ignores it.

    Given 8 workers on which images a and b run at half their speed beside each other
    When jobs of both images and of a third one arrive for 120 s
    Then it is known that a and b slow each other and no other pair
    And their callers wait at most 80 in 100 of the time that they wait without the detection

  Scenario: a slowdown of tasks that are too short for progress reports is detected
    Fails if only runs are used that were observed with and without a neighbour.

    Given 12 workers on which image e runs at half its speed beside a
    When jobs of a and short jobs of e arrive for 150 s
    Then it has become known that a slows e and nothing else

  Scenario: a task starts at once where all room is beside a task that slows it
    Fails if the detection keeps a task waiting or changes how many tasks are started.

    Given 8 workers on which images a and b run at half their speed beside each other
    And jobs of both images and of a third one have arrived for 120 s
    When 3 tasks of a run on each worker and 9 tasks of b arrive
    Then 8 of them start at once, one on each worker
    And the explanation of the waiting one names the pair

  Scenario: identical tasks that slow each other are spread over the workers
    Fails if the tasks of one step are still packed on few workers.

    Given 8 workers on which images a and a run at half their speed beside each other
    And jobs of both images and of a third one have arrived for 120 s
    When one job with 8 tasks of a arrives at idle workers
    Then its tasks run on 8 workers

  Scenario: a gang avoids the workers that slow one of its members
    Fails if a gang takes the workers with the most room although they slow its members.

    Given 8 workers on which images a and b run at half their speed beside each other
    And jobs of both images and of a third one have arrived for 120 s
    When a runs on half of the workers, c occupies more of the others, and a gang of 4 tasks of b arrives
    Then no member of the gang runs beside a

  Scenario Outline: no interference is found with <noise>
    Fails if runs on different workers are compared, or if a difference within the noise or a
    coincidence on few workers is taken for a slowdown.

    Given 12 workers without interference, with <noise>
    When jobs of both images and of a third one arrive for 400 s
    Then no pair has ever been significant

    Examples:
      | noise                                          |
      | two speeds, long tails and wrong estimates     |
      | workers at a fifth of their speed              |
      | image a only on workers at half speed          |
      | workers that stall for seconds                 |
      | workers that slow to a third for a few seconds |

  Scenario: the tail response time of a long-running task shows its neighbours
    Fails if tasks that serve users are left out, or if a tail below its objective counts.

    Given 8 workers on which images s and a run at half their speed beside each other
    When tasks of s with an objective of 60 ms run on all workers beside changing tasks of a
    Then it is known that a slows s
    And nothing is known about tasks of s with an objective of 200 ms

  Scenario: evidence decays
    Fails if a pair that was significant once stays so although nothing confirms it.

    Given 8 workers on which images a and b run at half their speed beside each other
    And jobs of both images and of a third one have arrived for 120 s
    When no jobs arrive for 240 s
    Then no pair is significant
    And the log has named the pair when it began and when it ended, and the metrics are empty

  Scenario: the number of pairs is bounded
    Fails if each name of an image, which callers choose, occupies memory, or if many names push out
    a significant pair.

    Given 8 workers on which images a and b run at half their speed beside each other
    And jobs of both images and of a third one have arrived for 120 s
    When jobs of 40 other images arrive for 60 s
    Then at most 256 pairs are kept, and a and b are among them

  Scenario: without interference, placement is the same as without the detection
    Fails if the cost changes the order of workers when no pair is significant.

    When the same jobs run with and without the detection on workers without interference
    Then all tasks have started on the same workers at the same times

Feature: Ownership of caller-chosen keys
  Guards against two instances that dispatch the same key, at one moment or
  within the time for which key tables hold it.

  Scenario: One owner at a time in any generated history
    Guards against two leases on a key after lost echoes, restarts, handovers and
    instance lists that differ.
    Then 1500 generated histories of leases have one owner at a time

  Scenario: A late echo extends the lease from its own heartbeat
    Guards against a lease that lasts longer than the members wait, since an echo
    came after a later heartbeat and counted as the echo of that one.
    When the echoes of a heartbeat come 2 s later, after the next heartbeat
    Then the lease ends 3 s after the first of the two

  Scenario: A changed home makes the new owner a recent one
    Guards against a key that runs again in the account's new home domain.
    Then the owner in the new home refuses the account's keys for 600 s

  Scenario Outline: No key runs twice although <case>
    Guards against histories of lists, echoes, restarts and handovers after which
    an owner would run a key without a record of an earlier run.
    Then no key runs twice in the history "<history>"

    Examples:
      | case | history |
      | the owner was removed from the list and listed again | apply_list_except a bd; pass 3.05; exchange; pass 650; exchange; execute bd; apply_list_except a abcd; pass 3.05; exchange; execute a |
      | the claim is older than a change of owner | claim a; apply_list_except a bd; pass 3.05; exchange; pass 650; exchange; execute bd; apply_list_except a abcd; pass 3.05; exchange; run_claimed |
      | the owner echoed another view and changed back | apply_list_except c ad; pass 3.05; exchange; pass 650; exchange; apply_list a ab; apply_list b ab; pass 3.05; send_heartbeat b; deliver; pass 650; send_heartbeat b; deliver; execute b; apply_list a ad; pass 3.05; exchange; execute a |
      | a new member ran keys under a view with itself alone | apply_list_except b ad; apply_list b b; pass 3.05; exchange; pass 650; exchange; execute b; apply_list_except c abd; pass 3.05; exchange; execute a |
      | a member restarted after it ran keys alone | apply_list_except c ad; pass 3.05; exchange; pass 650; exchange; apply_list d d; pass 3.05; execute d; pass 650; execute d; restart d; apply_list d ad; pass 3.05; exchange; execute a |
      | the handover came from an earlier incarnation | retire a; apply_list_except a bcd; pass 3.05; exchange; restart a; apply_list_except a abcd; pass 3.05; exchange; pass 650; exchange; execute a; apply_list_except a bcd; pass 3.05; exchange; execute bcd |
      | two views share only a member that changes its view | apply_list_except b ad; apply_list b bd; pass 3.05; exchange; pass 650; exchange; apply_list d bd; send_heartbeat b; deliver; execute |
      | the owner has handed over but still has its lease | retire a; execute a; apply_list_except a bcd; pass 3.05; exchange; execute bcd |
      | a member has no record of its echo after a restart | apply_list_except b ad; pass 3.05; exchange; pass 1; exchange; restart d; apply_list d d; execute |

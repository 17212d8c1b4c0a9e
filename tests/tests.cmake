add_test(NAME unit COMMAND tests)

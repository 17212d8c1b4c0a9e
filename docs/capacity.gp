# gnuplot -e "rows='FOLDER OF THE ROWS'" docs/capacity.gp
set terminal svg size 900,900 dynamic background rgb 'white'
set output 'docs/capacity.svg'
set datafile separator ','
set key left top
set grid
set multiplot layout 3,2
set logscale xy
set xlabel 'topics (services + 1)'
set ylabel 'messages a second'
set title 'messages out of a node'
plot rows.'/slices.csv' using (column('services')+1):'node_out_messages_s' with points pt 7 title 'measured', \
     for [nodes in '20 420'] x*9.4*(2-6.0/nodes)+35 with lines title 'formula, '.nodes.' nodes'
set ylabel 'bytes a second'
set title 'bytes out of a node'
plot rows.'/slices.csv' using (column('services')+1):'node_out_bytes_s' with points pt 7 title 'measured', 14000 with lines title 'the plan'
set ylabel '% of a core'
set title 'agent and proxy of a real node'
plot rows.'/points.csv' using (column('services')+1):(column('agent_core_percent')+column('proxy_core_percent')) with points pt 7 title 'measured', \
     0.14*x with lines title '0.14 % a topic, sources besides', 2.2 with lines title 'the plan'
set title 'a replica, mean of 7 and the one on duty'
set xlabel 'nodes x services'
plot rows.'/points.csv' using (column('nodes')*column('services')):'replica_core_percent' with points pt 7 title 'mean', \
     '' using (column('nodes')*column('services')):'replica_most_core_percent' with points pt 6 title 'most', 100 with lines title 'one core'
set ylabel 'ms'
set title 'one pass of the shares over all services'
plot rows.'/pieces.csv' using (column('nodes')*column('services')):(column('share_cut_us')*column('services')/1000) with linespoints pt 7 title 'measured', 500 with lines title 'suspicion', 100 with lines title 'time between passes'
set title 'one action at a replica'
plot rows.'/pieces.csv' using (column('nodes')*column('services')):(column('action_us')/1000) with linespoints pt 7 title 'measured'
unset multiplot
